package controller

import (
	"context"
	"errors"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"github.com/trefoilloft/trefoilloft/internal/allocator"
	"github.com/trefoilloft/trefoilloft/internal/cataloger"
	"github.com/trefoilloft/trefoilloft/internal/confiner"
	"github.com/trefoilloft/trefoilloft/internal/dialer"
	"github.com/trefoilloft/trefoilloft/internal/quarantiner"
	"github.com/trefoilloft/trefoilloft/internal/resumer"
	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

const (
	maxConsultInterval = 250 * time.Millisecond
	// Shortest time between two Consult calls, even if there are changes to report, and the
	// delay between two attempts of Submit.
	minConsultInterval = 40 * time.Millisecond
	callTimeout        = 800 * time.Millisecond
	joinRetryDelay     = 250 * time.Millisecond
	// Time between two checks whether the members must change.
	membershipInterval = 100 * time.Millisecond
	sweepInterval      = 500 * time.Millisecond
	// Age up to which the leader's figures on other hosts' load are used.
	maxReplyAge = 5 * time.Second
	// Time between two reports of the demand for customers' tokens.
	demandReportInterval = 200 * time.Millisecond
	// Number of customers up to which the demand for all of them is reported, also for those
	// without requests: with more, reports would grow with the number of customers.
	maxExpectedCustomers = 64
)

// ErrNotReady means that the group of control hosts cannot accept changes: no leader is
// known, or the group has fewer voters than it needs to tolerate the configured losses.
var ErrNotReady = errors.New("controller: no leader of a whole group is known")

// Cluster extends a Controller where control hosts discover each other: it joins the group
// without an operator, keeps a catalog of upstreams and entry hosts, and lends customers' tokens
// to entry hosts. Set the exported fields before the controller runs.
type Cluster struct {
	// Self describes this host. Its identity is set when the controller runs.
	Self *schema.Member
	// FirstStart means that the whole system starts for the first time.
	FirstStart bool
	// MinVoters is the smallest number of voters with which commands are accepted.
	MinVoters int
	// SeedAddresses returns addresses at which control hosts may be reached. They may be wrong, and
	// hosts there may be down.
	SeedAddresses func() []string
	Table         *cataloger.Table
	// Allocator divides customers' limits among the control hosts while this host leads.
	Allocator *allocator.Allocator
	// Bucket holds this host's part of customers' limits, out of which it lends to entry hosts.
	Bucket *allocator.Bucket
	// Granter grants standing shares to the entry hosts that report here. Nil: they get none.
	Granter *allocator.Granter
	// Evidence and Quarantine hold what hosts found of requests and parts of prompts that crash
	// upstreams.
	Evidence   *quarantiner.Evidence
	Quarantine *quarantiner.Register
	// Streams holds which software versions began the streams of entry hosts that report to this host.
	Streams *resumer.Index

	lender     *allocator.Lender
	shares     shareLog
	contacts   contacts
	c          *Controller
	consultNow chan struct{} // ends the wait before the next Consult call
	searches   atomic.Int32  // questions to all control hosts that are open
	// lastReportQuestions is the number of open questions for last reports.
	lastReportQuestions atomic.Int32

	mu                   sync.Mutex
	candidates           map[uint64]candidate // by identity; guarded by mu
	knownAddresses       map[string]bool      // control hosts' addresses received in replies to requests to join; guarded by mu
	confirmedAt          time.Duration        // latest time, on the clock of the controller's Timer, as of which the configuration here was confirmed as the newest; 0: never; guarded by mu
	pendingConfirmations []confirmation       // confirmations whose entries are not yet applied; guarded by mu
	lastReply            *schema.ConsultReply // last Consult reply of a leader; guarded by mu
	lastReplyRequestedAt time.Duration        // when lastReply was requested; guarded by mu

	leavers leaverStore

	// Only consultLoop uses the fields below.
	consultedAddress string // address of the leader that was last sent reports
	cursor           uint64 // position in the table of the leader
	process          uint64 // identifies the table that cursor belongs to
	findings         *quarantiner.Link
	leaderLost       bool          // the last Consult call failed
	demandReportedAt time.Duration // time of the last report of demand
	demandReports    uint64        // number of reports of demand
}

// confirmation confirms the configuration as the newest as of requestedAt, once all entries
// up to index commit are applied here.
type confirmation struct {
	requestedAt time.Duration
	commit      uint64
}

// open connects the Cluster with its Controller, before requests are served, and reads what it kept.
func (k *Cluster) open(c *Controller) error {
	k.c = c
	k.Table.Settled = k.settled
	if k.Allocator != nil {
		k.Allocator.Members = func() []string { return c.view.Load().memberAddresses() }
	}
	if k.Granter != nil {
		k.Granter.Unconfirmed = func() bool { return k.lastConfirmedAt() == 0 }
	}
	k.leavers = leaverStore{path: filepath.Join(c.Store.Folder, leaversFile), timer: c.Timer}
	kept, err := k.leavers.load()
	if err != nil {
		return err
	}
	for _, a := range kept {
		k.Table.StoreUpstream(a, true)
	}
	c.Log.Info().Int("upstreams", len(kept)).Msg("upstreams read that left before the start")
	return nil
}

func (k *Cluster) start(ctx context.Context) {
	c := k.c
	k.consultNow = make(chan struct{}, 1)
	k.Self.Id = c.replica.ID
	k.findings = &quarantiner.Link{Source: k.Evidence, Register: k.Quarantine}
	k.lender = &allocator.Lender{Bucket: k.Bucket, Draw: k.draw}
	k.mu.Lock()
	k.candidates = map[uint64]candidate{}
	k.knownAddresses = map[string]bool{}
	k.mu.Unlock()
	go k.joinLoop(ctx)
	go k.consultLoop(ctx)
	stopMembers := c.Timer.Every(membershipInterval, k.updateMembership)
	stopSweep := c.Timer.Every(sweepInterval, func() {
		leads := c.view.Load().holdsLease(c.Timer.Now())
		if marked := k.Table.Sweep(leads); len(marked) > 0 {
			c.Log.Info().Strs("names", marked).Bool("leader", leads).Msg("upstreams and hosts no longer report")
		}
	})
	stopDecide := c.Timer.Every(decideInterval, k.decideQuarantine)
	context.AfterFunc(ctx, func() { stopMembers(); stopSweep(); stopDecide() })
}

// requestConsult makes consultLoop call the leader as soon as minConsultInterval allows.
func (k *Cluster) requestConsult() {
	select {
	case k.consultNow <- struct{}{}:
	default:
	}
}

// joinLoop requests to join until this host is a voter whose leader responds, and again
// whenever that no longer holds.
func (k *Cluster) joinLoop(ctx context.Context) {
	for ctx.Err() == nil {
		confiner.Call(k.c.Log, "join", func() {
			v := k.c.view.Load()
			m := v.member(k.Self.Id)
			if m == nil || !m.Voter || !v.leaderResponds {
				k.requestJoin(ctx, v)
			}
		})
		_ = k.c.Timer.Sleep(ctx, joinRetryDelay+time.Duration(rand.Int64N(int64(joinRetryDelay))))
	}
}

// requestJoin sends a request to join to every address at which a control host may be.
func (k *Cluster) requestJoin(ctx context.Context, v *view) {
	for _, address := range k.controlAddresses(v) {
		if address == k.Self.Address {
			continue
		}
		go confiner.Call(k.c.Log, "join", func() { k.requestJoinAt(ctx, address) })
	}
}

func (k *Cluster) requestJoinAt(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client, err := k.clusterClient(address)
	if err != nil {
		k.c.Log.Warn().Err(err).Str("address", address).Msg("cannot set up a connection to the control host")
		return
	}
	reply, err := client.Knock(ctx, &schema.KnockRequest{Member: k.Self, First: k.FirstStart})
	if err != nil {
		k.c.Log.Debug().Err(err).Str("address", address).Msg("request to join failed")
		return
	}
	k.addKnownAddresses(reply)
}

func (k *Cluster) addKnownAddresses(r *schema.KnockReply) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, m := range r.Members {
		k.knownAddresses[m.Address] = true
	}
	if r.Address != "" {
		k.knownAddresses[r.Address] = true
	}
}

// controlAddresses returns the addresses of SeedAddresses, of the members and those received from
// other control hosts, without duplicates.
func (k *Cluster) controlAddresses(v *view) []string {
	all := append(k.SeedAddresses(), v.memberAddresses()...)
	k.mu.Lock()
	for address := range k.knownAddresses {
		all = append(all, address)
	}
	k.mu.Unlock()
	slices.Sort(all)
	return slices.Compact(all)
}

func (k *Cluster) clusterClient(address string) (schema.ClusterServiceClient, error) {
	conn, err := k.c.Dialer.Conn(address)
	if err != nil {
		return nil, err
	}
	return schema.NewClusterServiceClient(conn), nil
}

func (k *Cluster) updateMembership() {
	k.Allocator.NoteMembers()
	now := k.c.Timer.Now()
	v := k.c.view.Load()
	if !v.holdsLease(now) {
		return
	}
	k.contacts.check(k.otherAddresses(v), now)
	k.mu.Lock()
	var candidates []candidate
	for id, c := range k.candidates {
		if now-c.requestedAt > dropTimeout {
			delete(k.candidates, id)
			continue
		}
		candidates = append(candidates, c)
	}
	k.mu.Unlock()
	slices.SortFunc(candidates, func(a, b candidate) int { return int(a.requestedAt - b.requestedAt) })
	k.c.proposeNextChange(candidates)
}

// otherAddresses returns the addresses of the other members.
func (k *Cluster) otherAddresses(v *view) []string {
	return slices.DeleteFunc(v.memberAddresses(), func(address string) bool { return address == k.Self.Address })
}

// settled reports whether what other control hosts acknowledged to upstreams is known here.
func (k *Cluster) settled() bool {
	now := k.Table.Timer.Now()
	if k.c.view.Load().holdsLease(now) {
		return k.contacts.steady(now)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lastReply.GetSteady() && now-k.lastReplyRequestedAt <= maxContactAge
}

// consultLoop calls the leader with the reports that this host received, and confirms what
// is committed. The leader only gives itself an allotment.
func (k *Cluster) consultLoop(ctx context.Context) {
	for ctx.Err() == nil {
		consultedAt := k.c.Timer.Now()
		confiner.Call(k.c.Log, "consult", func() { k.consultOnce(ctx, consultedAt) })
		k.waitToConsult(ctx, consultedAt)
	}
}

func (k *Cluster) consultOnce(ctx context.Context, now time.Duration) {
	v := k.c.view.Load()
	switch {
	case v.holdsLease(now):
		if report := k.demandReport(); report != nil {
			k.Bucket.ApplyAllotment(k.allot(report), now)
		}
	case v.role != leaderRole && v.leaderAddress() != "":
		k.consult(ctx, v.leaderAddress())
	}
	k.confirmApplied()
}

func (k *Cluster) waitToConsult(ctx context.Context, consultedAt time.Duration) {
	if delay := minConsultInterval - (k.c.Timer.Now() - consultedAt); delay > 0 {
		_ = k.c.Timer.Sleep(ctx, delay)
	}
	wait, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := k.c.Timer.Once(maxConsultInterval, cancel)
	defer stop()
	select {
	case <-wait.Done():
	case <-k.consultNow:
	}
}

func (k *Cluster) consult(ctx context.Context, leader string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client, err := k.clusterClient(leader)
	if err != nil {
		k.setLeaderLost(true, leader, err)
		return
	}
	if leader != k.consultedAddress {
		k.Table.ResetForwarded()
		k.consultedAddress = leader
	}
	upstreams, hosts := k.Table.ReportsToForward()
	requestedAt := k.c.Timer.Now()
	reply, err := client.Consult(ctx, &schema.ConsultRequest{
		Region: k.Self.Region, Address: k.Self.Address, Upstreams: upstreams, Peers: hosts, Cursor: k.cursor, Process: k.process,
		Loads: k.Table.DirectLoads(), Lender: k.demandReport(), Findings: k.findings.Request(k.process),
		Limits: k.Table.LimitsToForward(), Leavers: k.Table.LeaversToForward(), Breakages: k.Table.BreakagesToForward(),
		Brittleness: k.Table.BrittlenessToForward(),
	})
	if err != nil || !reply.Leader {
		k.Table.ResetForwarded()
		k.setLeaderLost(true, leader, err)
		return
	}
	k.setLeaderLost(false, leader, nil)
	k.storeReply(reply, leader, requestedAt)
}

// demandReport returns a report of the demand for customers' tokens, in reply to which the leader
// gives an allotment; nil if the last one was made less than demandReportInterval ago.
func (k *Cluster) demandReport() *schema.Peer {
	now := k.c.Timer.Now()
	if now-k.demandReportedAt < demandReportInterval {
		return nil
	}
	k.demandReportedAt = now
	k.demandReports++
	p := &schema.Peer{Name: k.Self.Address, Incarnation: k.Self.Id, Number: k.demandReports}
	p.Demands, p.Allotment = k.Bucket.Report(k.expectedCustomers())
	if k.Granter != nil {
		k.Granter.Fill(p)
	}
	return p
}

// expectedCustomers returns the names of all customers, each of which may send requests at any
// time, or nil if there are more than maxExpectedCustomers.
func (k *Cluster) expectedCustomers() []string {
	paths := k.c.Distributor.Current().Paths("customer")
	if len(paths) > maxExpectedCustomers {
		return nil
	}
	for i, p := range paths {
		paths[i] = strings.TrimPrefix(p, "customer/")
	}
	return paths
}

// draw requests tokens of a customer from the leader's reserve, for the Lender. It returns
// ErrNotReady if no leader is known or the one that is does not lead, and a StartingError if the leader cannot
// know yet what is in use.
func (k *Cluster) draw(ctx context.Context, customer string, minTokens, maxTokens float64) (float64, time.Duration, error) {
	v := k.c.view.Load()
	if v.holdsLease(k.c.Timer.Now()) {
		return k.Allocator.LendOrLearn(customer, minTokens, maxTokens)
	}
	address := v.leaderAddress()
	if address == "" || v.role == leaderRole {
		return 0, 0, ErrNotReady
	}
	client, err := k.clusterClient(address)
	if err != nil {
		return 0, 0, err
	}
	reply, err := client.Draw(ctx, &schema.BorrowRequest{Customer: customer, Need: minTokens, Wish: maxTokens})
	if err != nil {
		return 0, 0, errors.Join(ErrNotReady, err)
	}
	switch {
	case !reply.Leader:
		return 0, 0, ErrNotReady
	case reply.Starting:
		return 0, 0, &allocator.StartingError{RetryAfter: timer.Seconds(reply.Retry)}
	}
	return reply.Tokens, timer.Seconds(reply.Retry), nil
}

// setLeaderLost logs when the leader is lost or regained.
func (k *Cluster) setLeaderLost(lost bool, leader string, err error) {
	if lost == k.leaderLost {
		return
	}
	k.leaderLost = lost
	if lost {
		k.c.Log.Warn().Err(err).Str("leader", leader).Msg("leader lost")
		return
	}
	k.c.Log.Info().Str("leader", leader).Msg("leader regained")
}

func (k *Cluster) storeReply(r *schema.ConsultReply, leader string, requestedAt time.Duration) {
	transit := k.c.Timer.Now() - requestedAt
	for _, a := range r.Upstreams {
		cataloger.AddDelay(a, transit)
	}
	needsWhole := k.Table.Follow(cataloger.Reply{
		Upstreams: r.Upstreams, Hosts: r.Peers, Whole: r.Process != k.process, Observed: timer.Seconds(r.Observed), From: leader,
	}, nil, nil)
	for _, part := range k.findings.Apply(r.Findings, r.Process) {
		k.logQuarantine(part, leader)
	}
	k.cursor, k.process = r.Cursor, r.Process
	if needsWhole {
		k.cursor, k.process = 0, 0
	}
	k.Bucket.ApplyAllotment(r.Allotment, requestedAt)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lastReply, k.lastReplyRequestedAt = r, requestedAt
	k.pendingConfirmations = append(k.pendingConfirmations, confirmation{requestedAt: requestedAt, commit: r.Commit})
}

// confirmApplied advances confirmedAt to the time of the latest Consult call whose reply named a
// commit index up to which all entries are now applied here.
func (k *Cluster) confirmApplied() {
	v := k.c.view.Load()
	k.mu.Lock()
	defer k.mu.Unlock()
	var unapplied []confirmation
	for _, p := range k.pendingConfirmations {
		if v.appliedIndex >= p.commit {
			k.confirmedAt = max(k.confirmedAt, p.requestedAt)
			continue
		}
		unapplied = append(unapplied, p)
	}
	k.pendingConfirmations = unapplied
}

// lastConfirmedAt returns the latest time, on the clock of the controller's Timer, as of which
// the configuration here was confirmed to be the newest accepted anywhere; 0 if it never was.
func (k *Cluster) lastConfirmedAt() time.Duration {
	now := k.c.Timer.Now()
	if v := k.c.view.Load(); v.holdsLease(now) && v.appliedIndex >= v.commitIndex {
		return now
	}
	k.confirmApplied()
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.confirmedAt
}

// Submit proposes a command through whichever host leads, and retries until ctx ends. After
// ErrNotReady nothing was proposed; after ErrOutcomeUnknown it may or may not be committed.
func (k *Cluster) Submit(ctx context.Context, command *schema.Command) (*schema.Result, error) {
	for {
		v := k.c.view.Load()
		if d := command.GetDocument(); d != nil && v.document != nil && d.Number <= v.document.Number {
			// A document that is not newer than a committed one changes nothing.
			return &schema.Result{Version: k.c.Distributor.Current().Version}, nil
		}
		if v.voterCount() >= k.MinVoters {
			result, err := k.submitToLeader(ctx, v, command)
			if err == nil || errors.Is(err, ErrOutcomeUnknown) {
				return result, err
			}
		}
		if err := k.c.Timer.Sleep(ctx, minConsultInterval); err != nil {
			return nil, ErrNotReady
		}
	}
}

func (k *Cluster) submitToLeader(ctx context.Context, v *view, command *schema.Command) (*schema.Result, error) {
	if v.role == leaderRole {
		return k.c.Propose(ctx, command)
	}
	address := v.leaderAddress()
	if address == "" {
		return nil, ErrNotLeader
	}
	client, err := k.c.Dialer.ControlClient(address)
	if err != nil {
		return nil, err
	}
	request := &schema.ProposeRequest{Command: command, Token: k.c.Settings.Secret}
	result, err := client.Propose(ctx, request, dialer.Compression(proto.Size(request))...)
	switch status.Code(err) {
	case codes.OK:
		return result, nil
	case codes.FailedPrecondition:
		return nil, ErrNotLeader
	}
	return nil, errors.Join(ErrOutcomeUnknown, err)
}

// Read returns the newest document as it was submitted, nil if there is none. It returns
// ErrNotReady if this host cannot establish which document is the newest.
func (k *Cluster) Read(ctx context.Context) (*schema.Document, error) {
	v := k.c.view.Load()
	if v.holdsLease(k.c.Timer.Now()) {
		return v.document, nil
	}
	address := v.leaderAddress()
	if address == "" || v.role == leaderRole {
		return nil, ErrNotReady
	}
	client, err := k.clusterClient(address)
	if err != nil {
		return nil, errors.Join(ErrNotReady, err)
	}
	reply, err := client.Read(ctx, &schema.ReadRequest{})
	if err != nil || !reply.Leader {
		return nil, errors.Join(ErrNotReady, err)
	}
	if reply.Number == 0 {
		return nil, nil
	}
	return &schema.Document{Number: reply.Number, Source: reply.Source}, nil
}

// Announce stores an upstream's report of itself. After an error the report must not be acknowledged: that
// the upstream is leaving would be forgotten if this host restarted.
func (k *Cluster) Announce(ctx context.Context, a *schema.Announcement) error {
	name, leaving := a.Name, a.Leaving || a.Gone
	var others []cataloger.LastReport
	if k.Table.NeedsLastReports(a) {
		others = k.lastReports(ctx, a)
	}
	if k.Table.StoreAnnounced(a, others) {
		k.c.Log.Info().Str("upstream", a.Name).Str("pool", a.Pool).Str("address", a.Address).Str("software", a.Software).
			Uint64("incarnation", a.Incarnation).Uint64("number", a.Number).
			Bool("leaving", a.Leaving).Bool("gone", a.Gone).Float64("cold", a.Cold).Float64("left", a.Left).Msg("upstream changed")
		k.requestConsult()
	}
	if !leaving {
		return nil
	}
	return k.leavers.keep(k.Table.Upstream(name))
}
