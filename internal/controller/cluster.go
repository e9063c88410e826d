package controller

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/trefoilloft/trefoilloft/internal/allocator"
	"github.com/trefoilloft/trefoilloft/internal/cataloger"
	"github.com/trefoilloft/trefoilloft/internal/schema"
)

const (
	consultInterval = 250 * time.Millisecond
	// Shortest time between two consultations when there is news.
	newsInterval = 40 * time.Millisecond
	callTimeout  = 800 * time.Millisecond
	knockPause   = 250 * time.Millisecond
	// Time between two looks at the members.
	memberInterval = 100 * time.Millisecond
	sweepInterval  = 500 * time.Millisecond
	// Time for which the leader's last word on other hosts' load counts.
	liveTime = 5 * time.Second
)

// ErrNotReady says that the group of control hosts cannot accept anything yet: it is too
// small to bear the losses that it must bear, or no leader is known.
var ErrNotReady = errors.New("controller: no leader of a whole group is known")

// Cluster is what a control host does beyond the log where hosts find each other: it joins
// the group by itself, keeps a catalog of upstreams and entry hosts, and divides limits.
// Set the exported fields before the controller runs.
type Cluster struct {
	// Self is this host; its identity is filled in.
	Self *schema.Member
	// First says that the whole system starts for the first time.
	First bool
	// Enough is the number of voters below which nothing is accepted.
	Enough int
	// Seeds returns addresses of control hosts, which may be wrong or down.
	Seeds     func() []string
	Table     *cataloger.Table
	Allocator *allocator.Allocator

	c    *Controller
	news chan struct{}

	mu         sync.Mutex
	candidates map[uint64]candidate // guarded by mu
	known      map[string]bool      // addresses heard of; guarded by mu
	certain    time.Duration        // the configuration here is not older than the newest then; guarded by mu
	pending    []confirmation       // guarded by mu
	told       *schema.ConsultReply // newest reply of a leader; guarded by mu
	toldAt     time.Duration        // when it was asked for; guarded by mu
	allotments map[string]allotment // by host; guarded by mu
	lastTold   string               // leader that was last told; only consult uses it
	cursor     uint64               // in the leader's table; only consult uses it
	process    uint64
	cut        bool // the leader did not answer; only consult uses it
}

// confirmation waits until everything up to commit is applied.
type confirmation struct {
	asked  time.Duration
	commit uint64
}

// allotment is a host's parts as the leader gave them on a question asked at a time.
type allotment struct {
	given *schema.Allotment
	asked time.Duration
}

func (k *Cluster) start(ctx context.Context, c *Controller) {
	k.c = c
	k.news = make(chan struct{}, 1)
	k.Self.Id = c.replica.ID
	k.mu.Lock()
	k.candidates = map[uint64]candidate{}
	k.known = map[string]bool{}
	k.allotments = map[string]allotment{}
	k.mu.Unlock()
	go k.knockLoop(ctx)
	go k.consultLoop(ctx)
	stopMembers := c.Timer.Every(memberInterval, k.lookAtMembers)
	stopSweep := c.Timer.Every(sweepInterval, func() { k.Table.Sweep(c.view.Load().leads(c.Timer.Now())) })
	context.AfterFunc(ctx, func() { stopMembers(); stopSweep() })
}

// wake makes the next consultation come at once.
func (k *Cluster) wake() {
	select {
	case k.news <- struct{}{}:
	default:
	}
}

// knockLoop asks to be a member until this host is a voter that hears its leader.
func (k *Cluster) knockLoop(ctx context.Context) {
	for ctx.Err() == nil {
		v := k.c.view.Load()
		m := v.member(k.Self.Id)
		if m == nil || !m.Voter || !v.hears {
			k.knock(ctx, v)
		}
		_ = k.c.Timer.Sleep(ctx, knockPause+time.Duration(rand.Int64N(int64(knockPause))))
	}
}

// knock asks every address that may be a control host's.
func (k *Cluster) knock(ctx context.Context, v *view) {
	for _, address := range k.addresses(v) {
		if address == k.Self.Address {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			client, err := k.client(address)
			if err != nil {
				k.c.Log.Warn().Err(err).Str("address", address).Msg("control host has no usable address")
				return
			}
			reply, err := client.Knock(ctx, &schema.KnockRequest{Member: k.Self, First: k.First})
			if err != nil {
				k.c.Log.Debug().Err(err).Str("address", address).Msg("control host does not answer")
				return
			}
			k.learn(reply)
		}()
	}
}

func (k *Cluster) learn(r *schema.KnockReply) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, m := range r.Members {
		k.known[m.Address] = true
	}
	if r.Address != "" {
		k.known[r.Address] = true
	}
}

// addresses returns the seeds, the members and what was heard of, without doubles.
func (k *Cluster) addresses(v *view) []string {
	all := append(k.Seeds(), v.addresses()...)
	k.mu.Lock()
	for address := range k.known {
		all = append(all, address)
	}
	k.mu.Unlock()
	slices.Sort(all)
	return slices.Compact(all)
}

func (k *Cluster) client(address string) (schema.ClusterServiceClient, error) {
	conn, err := k.c.Dialer.Conn(address)
	if err != nil {
		return nil, err
	}
	return schema.NewClusterServiceClient(conn), nil
}

func (k *Cluster) lookAtMembers() {
	now := k.c.Timer.Now()
	if v := k.c.view.Load(); !v.leads(now) {
		return
	}
	k.mu.Lock()
	var candidates []candidate
	for id, c := range k.candidates {
		if now-c.asked > dropAfter {
			delete(k.candidates, id)
			continue
		}
		candidates = append(candidates, c)
	}
	k.mu.Unlock()
	slices.SortFunc(candidates, func(a, b candidate) int { return int(a.asked - b.asked) })
	k.c.changeMembers(candidates)
}

// consultLoop tells the leader what this host heard, and asks it what is committed.
func (k *Cluster) consultLoop(ctx context.Context) {
	for ctx.Err() == nil {
		begun := k.c.Timer.Now()
		if v := k.c.view.Load(); v.role != leaderRole && v.address() != "" {
			k.consult(ctx, v.address())
		}
		k.confirm()
		k.waitForNews(ctx, begun)
	}
}

func (k *Cluster) waitForNews(ctx context.Context, begun time.Duration) {
	if rest := newsInterval - (k.c.Timer.Now() - begun); rest > 0 {
		_ = k.c.Timer.Sleep(ctx, rest)
	}
	wait, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := k.c.Timer.Once(consultInterval, cancel)
	defer stop()
	select {
	case <-wait.Done():
	case <-k.news:
	}
}

func (k *Cluster) consult(ctx context.Context, leader string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client, err := k.client(leader)
	if err != nil {
		k.note(true, leader, err)
		return
	}
	if leader != k.lastTold {
		k.Table.Untold()
		k.lastTold = leader
	}
	upstreams, peers := k.Table.Told()
	asked := k.c.Timer.Now()
	reply, err := client.Consult(ctx, &schema.ConsultRequest{
		Region: k.Self.Region, Address: k.Self.Address, Upstreams: upstreams, Peers: peers, Cursor: k.cursor, Process: k.process,
	})
	if err != nil || !reply.Leader {
		k.Table.Untold()
		k.note(true, leader, err)
		return
	}
	k.note(false, leader, nil)
	k.take(reply, leader, asked)
}

// note logs when the leader is lost or regained.
func (k *Cluster) note(cut bool, leader string, err error) {
	if cut == k.cut {
		return
	}
	k.cut = cut
	if cut {
		k.c.Log.Warn().Err(err).Str("leader", leader).Msg("leader lost")
		return
	}
	k.c.Log.Info().Str("leader", leader).Msg("leader regained")
}

func (k *Cluster) take(r *schema.ConsultReply, leader string, asked time.Duration) {
	for _, a := range r.Upstreams {
		k.Table.TakeUpstream(a, false)
	}
	for _, p := range r.Peers {
		k.Table.TakePeer(p, leader)
	}
	k.cursor, k.process = r.Cursor, r.Process
	k.mu.Lock()
	defer k.mu.Unlock()
	k.told, k.toldAt = r, asked
	for _, a := range r.Allotments {
		k.allotments[a.Host] = allotment{given: a, asked: asked}
	}
	k.pending = append(k.pending, confirmation{asked: asked, commit: r.Commit})
}

// confirm moves certainty forward to the newest question whose answer is applied here.
func (k *Cluster) confirm() {
	v := k.c.view.Load()
	k.mu.Lock()
	defer k.mu.Unlock()
	var open []confirmation
	for _, p := range k.pending {
		if v.applied >= p.commit {
			k.certain = max(k.certain, p.asked)
			continue
		}
		open = append(open, p)
	}
	k.pending = open
}

// certainty returns the time at which the configuration here was not older than the
// newest that was accepted anywhere; 0: never.
func (k *Cluster) certainty() time.Duration {
	now := k.c.Timer.Now()
	if v := k.c.view.Load(); v.leads(now) && v.applied >= v.commit {
		return now
	}
	k.confirm()
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.certain
}

// Submit agrees on a command through whichever host leads. ErrNotReady and ErrNotLeader:
// nothing was proposed. ErrUncertain: it may or may not be accepted.
func (k *Cluster) Submit(ctx context.Context, command *schema.Command) (*schema.Result, error) {
	for {
		v := k.c.view.Load()
		if v.voters() >= k.Enough {
			result, err := k.submitTo(ctx, v, command)
			if err == nil || errors.Is(err, ErrUncertain) {
				return result, err
			}
		}
		if err := k.c.Timer.Sleep(ctx, newsInterval); err != nil {
			return nil, ErrNotReady
		}
	}
}

func (k *Cluster) submitTo(ctx context.Context, v *view, command *schema.Command) (*schema.Result, error) {
	if v.role == leaderRole {
		return k.c.Propose(ctx, command)
	}
	address := v.address()
	if address == "" {
		return nil, ErrNotLeader
	}
	client, err := k.c.Dialer.Control(address)
	if err != nil {
		return nil, err
	}
	result, err := client.Propose(ctx, &schema.ProposeRequest{Command: command, Token: k.c.Settings.Secret})
	switch status.Code(err) {
	case codes.OK:
		return result, nil
	case codes.FailedPrecondition:
		return nil, ErrNotLeader
	}
	return nil, errors.Join(ErrUncertain, err)
}

// Read returns the newest document as it was sent, nil if there is none. ErrNotReady says
// that this host cannot be sure which is the newest.
func (k *Cluster) Read(ctx context.Context) (*schema.Document, error) {
	v := k.c.view.Load()
	if v.leads(k.c.Timer.Now()) {
		return v.document, nil
	}
	address := v.address()
	if address == "" || v.role == leaderRole {
		return nil, ErrNotReady
	}
	client, err := k.client(address)
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

// Announce takes an upstream's report of itself.
func (k *Cluster) Announce(a *schema.Announcement) {
	if k.Table.TakeUpstream(a, true) {
		k.c.Log.Info().Str("upstream", a.Name).Str("pool", a.Pool).Str("address", a.Address).
			Uint64("incarnation", a.Incarnation).Uint64("number", a.Number).
			Bool("leaving", a.Leaving).Bool("gone", a.Gone).Float64("cold", a.Cold).Float64("left", a.Left).Msg("upstream changed")
		k.wake()
	}
}
