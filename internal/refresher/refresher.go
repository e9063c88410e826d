package refresher

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/trefoilloft/trefoilloft/internal/allocator"
	"github.com/trefoilloft/trefoilloft/internal/cataloger"
	"github.com/trefoilloft/trefoilloft/internal/configurer"
	"github.com/trefoilloft/trefoilloft/internal/confiner"
	"github.com/trefoilloft/trefoilloft/internal/dialer"
	"github.com/trefoilloft/trefoilloft/internal/distributor"
	"github.com/trefoilloft/trefoilloft/internal/quarantiner"
	"github.com/trefoilloft/trefoilloft/internal/resumer"
	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

const (
	reportInterval     = 400 * time.Millisecond
	busyReportInterval = 200 * time.Millisecond
	callTimeout        = 700 * time.Millisecond
	// Time from a failed report to the next one.
	retryDelay = 60 * time.Millisecond
	// Age of the confirmation above which the next report goes to another control host, even
	// if the present one replies.
	maxConfirmationAge = 1500 * time.Millisecond
	sweepInterval      = time.Second
	// Time for which a control host is avoided after a failure, if there is another.
	failedAvoidDuration = 2 * time.Second
)

// Refresher is an entry host's client of the control hosts. Set the exported fields and call
// Init, then Run.
type Refresher struct {
	Timer  *timer.Service
	Dialer *dialer.Dialer
	Log    zerolog.Logger
	// SeedAddresses returns at least one address of a control host, in order of preference. They
	// are tried after the addresses that a control host has sent.
	SeedAddresses func() []string
	// SelfReport returns this host's report; Refresher adds the report's number.
	SelfReport  func() *schema.Peer
	Distributor *distributor.Distributor
	Table       *cataloger.Table
	Bucket      *allocator.Bucket
	// Findings exchanges what is known of requests and parts of prompts that crash upstreams. Nil:
	// nothing is.
	Findings *quarantiner.Link
	// Streams selects what is known of the streams that began at this host. Nil: nothing is sent.
	Streams *resumer.Sender
	// OwnLimits returns the limits that upstreams lately named in answers to this host. Nil: none.
	OwnLimits func() []*schema.NamedLimit
	// OwnBrittleness returns what upstreams lately said in answers to this host of being brittle. Nil: none.
	OwnBrittleness func() []*schema.Brittleness
	// OwnLeavers returns the upstreams that lately said in answers to this host that they are leaving.
	// Nil: none.
	OwnLeavers func() []*schema.Leaver
	// OwnBreakages returns the upstreams to which this host's connections lately broke. Nil: none.
	OwnBreakages func() []*schema.Breakage
	// IsBusy reports whether this host handles so many requests that other hosts need its load
	// more often. Nil: never.
	IsBusy func() bool
	// Adaptive reports whether the rates at which callers ask for tokens are reported, in reply to which standing shares
	// are granted. Nil: they are not.
	Adaptive func() bool
	// OnLoads is called after each reply with the load of the region's other hosts and the
	// digests of other regions, once the table is updated. Nil: not called.
	OnLoads func(loads []*schema.PoolLoad, digests []*schema.RegionDigest)

	reportRequested  chan struct{}
	streamsRequested chan bool // urgent or not

	mu sync.Mutex
	// confirmedAt is the time, on Timer's clock, as of which the configuration was last
	// confirmed as the newest; 0: never; guarded by mu
	confirmedAt      time.Duration
	controlAddresses []string // guarded by mu
	repliedAddress   string   // control host that replied last; guarded by mu

	controlAddress string                   // control host in use, empty: none yet; only Run uses the fields below
	cursor         uint64                   // position in the control host's table
	cursorProcess  uint64                   // identifies the table that cursor belongs to
	reportNumber   uint64                   // of the last report
	answeredReport uint64                   // number of the last report whose reply was applied
	failedAt       map[string]time.Duration // time of the last failure, by address, on Timer's clock
	controlLost    bool
	reportedReady  bool // Ready of the last report
	// unusableLog and sharesLog bound log lines; loggedShares are the counters as of the last line.
	unusableLog, sharesLog logLimit
	loggedShares           allocator.ShareStats
}

// Run sends reports and applies the replies until ctx ends. It always returns nil.
func (r *Refresher) Run(ctx context.Context) error {
	r.failedAt = map[string]time.Duration{}
	stop := r.Timer.Every(sweepInterval, func() {
		if marked := r.Table.Sweep(false); len(marked) > 0 {
			r.Log.Info().Strs("names", marked).Msg("upstreams and hosts no longer confirmed")
		}
	})
	defer stop()
	for ctx.Err() == nil {
		delay := r.reportDelay()
		if err := r.confinedRefresh(ctx); err != nil {
			delay = retryDelay
		} else if r.SelfReport().Ready != r.reportedReady {
			delay = 0 // readiness changed meanwhile: others must receive it at once
		}
		r.wait(ctx, delay)
	}
	return nil
}

// reportDelay returns the time until the next report: shorter while this host is busy, since
// other hosts need to know its load.
func (r *Refresher) reportDelay() time.Duration {
	if r.IsBusy != nil && r.IsBusy() {
		return busyReportInterval
	}
	return reportInterval
}

// Init must be called before Run and ReportNow.
func (r *Refresher) Init() {
	r.reportRequested = make(chan struct{}, 1)
	r.streamsRequested = make(chan bool, 2)
}

// ReportNow makes Run send the next report at once. It does not block.
func (r *Refresher) ReportNow() {
	select {
	case r.reportRequested <- struct{}{}:
	default:
	}
}

func (r *Refresher) wait(ctx context.Context, delay time.Duration) {
	elapsed := make(chan struct{})
	cancel := r.Timer.Once(delay, func() { close(elapsed) })
	defer cancel()
	select {
	case <-ctx.Done():
	case <-elapsed:
	case <-r.reportRequested:
	}
}

// ConfirmationAge returns how long ago, on Timer's clock, the configuration in force was last
// confirmed as the newest, and false if it never was.
func (r *Refresher) ConfirmationAge() (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Timer.Now() - r.confirmedAt, r.confirmedAt > 0
}

// errPanicked means that a report could not be made, or its reply not applied.
var errPanicked = errors.New("refresher: panicked")

// confinedRefresh calls refresh. If that panics it abandons the control host, whose replies may go on to
// have the same effect.
func (r *Refresher) confinedRefresh(ctx context.Context) (err error) {
	if !confiner.Call(r.Log, "refresh", func() { err = r.refresh(ctx) }) {
		r.abandonControl(errPanicked)
		return errPanicked
	}
	return err
}

// refresh sends a report to one control host and applies the reply. It abandons the control
// host if that fails.
func (r *Refresher) refresh(ctx context.Context) error {
	if r.controlAddress == "" {
		r.controlAddress = r.pickControl()
	}
	sentAt := r.Timer.Now()
	reply, err := r.sendReport(ctx)
	if err != nil {
		r.abandonControl(err)
		return err
	}
	if err := r.applyReply(reply, sentAt); err != nil {
		r.abandonControl(err)
		return err
	}
	r.answeredReport = r.reportNumber
	r.recordRegained()
	r.controlAddress = r.pickControl()
	if age, confirmed := r.ConfirmationAge(); !confirmed || age > maxConfirmationAge {
		// The control host replies, but cannot itself confirm that its configuration is the
		// newest. Another control host may be able to.
		r.abandonControl(errUnconfirmed)
	}
	return nil
}

var errUnconfirmed = errors.New("refresher: control host cannot confirm its configuration as the newest")

func (r *Refresher) sendReport(ctx context.Context) (*schema.RefreshReply, error) {
	conn, err := r.Dialer.Conn(r.controlAddress)
	if err != nil {
		return nil, err
	}
	self := r.SelfReport()
	r.reportNumber++
	r.reportedReady = self.Ready
	self.Number = r.reportNumber
	demands, _ := r.Bucket.Report(nil) // also updates the averages of demand, by which the Bucket borrows ahead
	self.Standing = r.Bucket.Standing()
	if r.Adaptive != nil && r.Adaptive() {
		self.Demands = allocator.LargestDemands(demands)
		self.Standing = append(self.Standing, r.Bucket.Ended(allocator.MaxStandingCustomers-len(self.Standing))...)
		self.Allotment = r.answeredReport
	}
	current := r.Distributor.Current()
	request := &schema.RefreshRequest{Self: self, Version: current.Version, Hash: current.Hash, Cursor: r.cursor, Process: r.cursorProcess, Packs: true}
	if r.OwnLimits != nil {
		request.Limits = r.OwnLimits()
	}
	if r.OwnBrittleness != nil {
		request.Brittleness = r.OwnBrittleness()
	}
	if r.OwnLeavers != nil {
		request.Leavers = r.OwnLeavers()
	}
	if r.OwnBreakages != nil {
		request.Breakages = r.OwnBreakages()
	}
	if r.Findings != nil {
		request.Findings = r.Findings.Request(r.cursorProcess)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return schema.NewClusterServiceClient(conn).Refresh(ctx, request)
}

// pickControl returns the first address in order of preference that has not failed within
// failedAvoidDuration, else the one whose last failure is the longest ago.
func (r *Refresher) pickControl() string {
	r.mu.Lock()
	addresses := slices.Clone(r.controlAddresses)
	r.mu.Unlock()
	for _, address := range r.SeedAddresses() {
		if !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	selected, now := addresses[0], r.Timer.Now()
	for _, address := range addresses {
		failedAt, failed := r.failedAt[address]
		if !failed || now-failedAt > failedAvoidDuration {
			return address
		}
		if failedAt < r.failedAt[selected] {
			selected = address
		}
	}
	return selected
}

// abandonControl records a failure of the control host in use, so that another is picked.
func (r *Refresher) abandonControl(err error) {
	if !r.controlLost {
		r.controlLost = true
		age, _ := r.ConfirmationAge()
		r.Log.Warn().Err(err).Str("control", r.controlAddress).Dur("certainty", age).Msg("control host lost")
	}
	r.failedAt[r.controlAddress] = r.Timer.Now()
	r.controlAddress = ""
}

func (r *Refresher) recordRegained() {
	if !r.controlLost {
		return
	}
	r.controlLost = false
	r.Log.Info().Str("control", r.controlAddress).Msg("control host regained")
}

// applyReply applies a control host's reply. SentAt is the time, on Timer's clock, before the
// report was sent: what the reply confirms or grants is counted from there.
func (r *Refresher) applyReply(reply *schema.RefreshReply, sentAt time.Duration) error {
	if len(reply.Packed) > 0 {
		update, err := distributor.Unpack(reply.Packed)
		if err != nil {
			return err
		}
		reply.Snapshot, reply.Deltas = update.Snapshot, update.Deltas
	}
	if reply.Snapshot != nil {
		if err := r.Distributor.Replace(configurer.FromMessage(reply.Snapshot)); err != nil {
			return err
		}
	}
	for _, d := range reply.Deltas {
		if err := r.Distributor.ApplyDelta(d); err != nil {
			return err
		}
	}
	r.applyStanding(reply.Standing, sentAt)
	transit := r.Timer.Now() - sentAt
	for _, a := range reply.Upstreams {
		cataloger.AddDelay(a, transit)
	}
	needsWhole := r.Table.Follow(cataloger.Reply{
		Upstreams: reply.Upstreams, Hosts: reply.Peers, Whole: reply.Whole, Observed: timer.Seconds(reply.Observed), From: r.controlAddress,
	}, func(a *schema.Announcement) {
		r.Log.Info().Str("upstream", a.Name).Str("pool", a.Pool).Str("software", a.Software).Uint64("incarnation", a.Incarnation).Uint64("number", a.Number).
			Float64("age", a.Age).Bool("leaving", a.Leaving).Float64("since", a.GetSince()).Bool("dated", a.Since != nil).Bool("gone", a.Gone).Bool("silent", a.Silent).Float64("broken", a.GetBroken()).Float64("cold", a.Cold).
			Float64("limit", a.Limit.GetRate()).Bool("limited", a.Limit != nil && !a.Limit.Ended).Str("control", r.controlAddress).Msg("upstream learned")
	}, func(p *schema.Peer) {
		r.Log.Info().Str("peer", p.Name).Uint64("incarnation", p.Incarnation).Uint64("number", p.Number).
			Float64("age", p.Age).Bool("ready", p.Ready).Str("control", r.controlAddress).Msg("host learned")
	})
	if r.Findings != nil {
		for _, part := range r.Findings.Apply(reply.Findings, reply.Process) {
			left, quarantined := r.Findings.Register.Find(part)
			r.Log.Info().Hex("part", quarantiner.AppendKey(nil, part)).Strs("beside", quarantiner.KeyNames(r.Findings.Register.Beside(part))).
				Strs("only", quarantiner.KeyNames(r.Findings.Register.Only(part))).Bool("quarantined", quarantined).Dur("left", left).Str("control", r.controlAddress).Msg("quarantine learned")
		}
	}
	r.cursor, r.cursorProcess = reply.Cursor, reply.Process
	if needsWhole {
		r.cursor, r.cursorProcess = 0, 0
	}
	if r.OnLoads != nil {
		r.OnLoads(reply.Loads, reply.Digests)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(reply.Controls) > 0 {
		r.controlAddresses = reply.Controls
	}
	r.repliedAddress = r.controlAddress
	if reply.Age >= 0 {
		r.confirmedAt = max(r.confirmedAt, sentAt-time.Duration(reply.Age))
	}
	return nil
}

// applyStanding applies the standing shares of a reply. A log line counts the shares that began and ended since the
// last one.
func (r *Refresher) applyStanding(shares []*schema.Share, sentAt time.Duration) {
	c := r.Bucket.ApplyStanding(shares, sentAt)
	if c.UnusableField != "" && r.unusableLog.allows(r.Timer.Now()) {
		r.Log.Warn().Str("field", c.UnusableField).Float64("value", c.UnusableValue).Str("control", r.controlAddress).Msg("standing share cannot be used")
	}
	s := r.Bucket.Stats()
	if logged := &r.loggedShares; (s.Granted != logged.Granted || s.Expired != logged.Expired) && r.sharesLog.allows(r.Timer.Now()) {
		r.Log.Info().Uint64("granted", s.Granted-logged.Granted).Uint64("renewed", s.Renewed-logged.Renewed).Uint64("expired", s.Expired-logged.Expired).
			Float64("spent", s.SpentTokens-logged.SpentTokens).Int("held", s.Held).Dur("transit", r.Timer.Now()-sentAt).
			Str("control", r.controlAddress).Msg("standing shares changed")
		*logged = s
	}
}

// shareLogInterval bounds the log lines on standing shares.
const shareLogInterval = time.Second

// logLimit lets one line pass in an interval.
type logLimit struct{ nextAt time.Duration }

func (l *logLimit) allows(now time.Duration) bool {
	if now < l.nextAt {
		return false
	}
	l.nextAt = now + shareLogInterval
	return true
}

// ErrNoLender says that no control host could decide on a loan.
var ErrNoLender = errors.New("refresher: no control host could lend tokens")

// firstLenderTimeout is the timeout of a request for a loan after which a second control host is
// asked: a round trip between the control host and the leader in another region, and their
// processing.
const firstLenderTimeout = 350 * time.Millisecond

// Borrow asks a control host for a loan of a customer's tokens: at least minTokens, at most
// maxTokens. It returns the tokens lent; if the customer is over its rate, 0 and the time until
// minTokens would be available. An error that wraps ErrNoLender says that no control host could
// decide, one that wraps allocator.ErrStarting that the leader cannot know yet what is in use. Tokens of a reply that is lost are lost to the customer.
func (r *Refresher) Borrow(ctx context.Context, customer string, minTokens, maxTokens float64) (float64, time.Duration, error) {
	addresses := r.nearestControls()
	if len(addresses) == 0 {
		return 0, 0, ErrNoLender
	}
	request := &schema.BorrowRequest{Customer: customer, Need: minTokens, Wish: maxTokens}
	firstCtx, cancel := context.WithTimeout(ctx, firstLenderTimeout)
	defer cancel()
	reply, err := r.borrowFrom(firstCtx, addresses[0], request)
	if err != nil && ctx.Err() == nil && len(addresses) > 1 {
		reply, err = r.borrowFrom(ctx, addresses[1], request)
	}
	if err != nil {
		return 0, 0, errors.Join(ErrNoLender, err)
	}
	switch {
	case !reply.Leader:
		return 0, 0, ErrNoLender
	case reply.Starting:
		return 0, 0, &allocator.StartingError{RetryAfter: timer.Seconds(reply.Retry)}
	}
	return reply.Tokens, timer.Seconds(reply.Retry), nil
}

// nearestControls returns the control host that replied last and the next in order of preference.
func (r *Refresher) nearestControls() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var addresses []string
	if r.repliedAddress != "" {
		addresses = append(addresses, r.repliedAddress)
	}
	for _, address := range r.controlAddresses {
		if address != r.repliedAddress {
			return append(addresses, address)
		}
	}
	return addresses
}

func (r *Refresher) borrowFrom(ctx context.Context, address string, request *schema.BorrowRequest) (*schema.BorrowReply, error) {
	conn, err := r.Dialer.Conn(address)
	if err != nil {
		return nil, err
	}
	return schema.NewClusterServiceClient(conn).Borrow(ctx, request)
}
