package forwarder

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/trefoilloft/trefoilloft/internal/allocator"
	"github.com/trefoilloft/trefoilloft/internal/assigner"
	"github.com/trefoilloft/trefoilloft/internal/clamper"
	"github.com/trefoilloft/trefoilloft/internal/estimator"
	"github.com/trefoilloft/trefoilloft/internal/scheduler"
	"github.com/trefoilloft/trefoilloft/internal/schema"
)

var (
	// ErrInvalidArgument is wrapped by errors that name an argument of Explain which cannot be right.
	ErrInvalidArgument = errors.New("invalid argument")
	// ErrUnknown is wrapped by errors that name a route, customer, host or region which this host does not know.
	ErrUnknown = errors.New("unknown")
)

// explanationDraws is the number of values of a random number, spread evenly, from which the chances of pools and regions
// are computed: they are exact to half a percent.
const explanationDraws = 200

// Kinds of outcomes of a request.
const (
	outcomeSent    = "sent"
	outcomePassed  = "passed"
	outcomeWaits   = "waits"
	outcomeRefused = "refused"
)

// Reasons why another region gets nothing.
const (
	regionNoHome     = "home"
	regionNoSlots    = "slots"
	regionSilent     = "silent"
	regionNoRelaying = "relay" // it has no entry host that is ready, or the configuration may be out of date
)

// ExplainService answers operators.
type ExplainService struct {
	schema.UnimplementedExplainServiceServer
	Forwarder *Forwarder
}

// Explain returns where a request would go now, and why.
func (s *ExplainService) Explain(_ context.Context, m *schema.ExplainRequest) (*schema.ExplainReply, error) {
	reply, err := s.Forwarder.Explain(m)
	return reply, statusOf(err)
}

// State returns what decisions rest on.
func (s *ExplainService) State(_ context.Context, m *schema.EntryStateRequest) (*schema.EntryStateReply, error) {
	reply, err := s.Forwarder.State(m)
	return reply, statusOf(err)
}

func statusOf(err error) error {
	switch {
	case errors.Is(err, ErrInvalidArgument):
		return status.Error(codes.InvalidArgument, err.Error())
	case errors.Is(err, ErrUnknown):
		return status.Error(codes.NotFound, err.Error())
	}
	return err
}

func invalidArgument(name, format string, args ...any) error {
	return fmt.Errorf("%w %s: %s", ErrInvalidArgument, name, fmt.Sprintf(format, args...))
}

func unknown(kind, name string) error { return fmt.Errorf("%w %s %q", ErrUnknown, kind, name) }

// Explain returns where a request would go now, and why, without sending it. It calls the functions that decide on
// requests, and changes nothing that is learned or counted. It has the body of no request, and explains a first attempt
// without a stream to take up.
func (f *Forwarder) Explain(m *schema.ExplainRequest) (*schema.ExplainReply, error) {
	if err := f.checkAsked(m.Host, m.Region); err != nil {
		return nil, err
	}
	if err := checkExplained(m); err != nil {
		return nil, err
	}
	reply := &schema.ExplainReply{Host: f.Host, Region: f.Region, Certainty: f.certainty(), Adaptive: f.adaptive()}
	r, err := f.identifyExplained(m)
	var refusal *Refusal
	switch {
	case errors.As(err, &refusal):
		reply.Version = r.configVersion
		reply.Outcome = refusedOutcome(err)
		return reply, nil
	case err != nil:
		return nil, err
	}
	reply.Route, reply.Customer, reply.Version, reply.Priority = r.route.Name, r.Customer(), r.configVersion, int32(r.priority)
	reply.Homes, reply.Bound = r.regions, r.regions != nil
	if err := f.admitExplained(r, reply); err != nil {
		reply.Outcome = refusedOutcome(err)
		return reply, nil
	}
	chances := map[string]float64{}
	for i := range explanationDraws {
		chances[pickPool(r.route, (float64(i)+0.5)/explanationDraws)] += 1. / explanationDraws
	}
	for _, pool := range slices.Sorted(maps.Keys(chances)) {
		x := *r
		x.pool = pool
		p := f.explainPool(&x)
		p.Chance = rounded(chances[pool])
		reply.Pools = append(reply.Pools, p)
	}
	return reply, nil
}

// checkAsked returns an error if an operator means another host or region.
func (f *Forwarder) checkAsked(host, region string) error {
	if host != "" && host != f.Host {
		return fmt.Errorf("%w: this address is that of %q", unknown("host", host), f.Host)
	}
	if region != "" && region != f.Region {
		return fmt.Errorf("%w: callers of %q use other hosts than %q", unknown("region", region), region, f.Host)
	}
	return nil
}

// Largest number of parts of a prompt that is explained. The scheduler's lock is held while its state is copied, which
// takes 8 ms for 1,000 parts and 250 engines.
const maxExplainedParts = 256

// checkExplained returns an error that names the first argument that cannot be right.
func checkExplained(m *schema.ExplainRequest) error {
	switch {
	case m.Route == "" && m.Name == "":
		return invalidArgument("route", "neither a route nor a name and path are given")
	case m.Route != "" && (m.Name != "" || m.Path != ""):
		return invalidArgument("route", "both a route and a name or path are given")
	case m.Route == "" && !strings.HasPrefix(m.Path, "/"):
		return invalidArgument("path", "%q does not begin with a slash", m.Path)
	}
	for _, x := range []struct {
		name  string
		value int64
	}{{"input", m.Input}, {"max", m.Output}, {"hint", m.Hint}} {
		if x.value < 0 || x.value > estimator.MaxTokens {
			return invalidArgument(x.name, "%d is not a number of tokens", x.value)
		}
	}
	if len(m.Parts) > maxExplainedParts {
		return invalidArgument("parts", "%d parts, at most %d are explained", len(m.Parts), maxExplainedParts)
	}
	for i, p := range m.Parts {
		if p.Id == "" || p.Tokens < 0 || p.Tokens > estimator.MaxTokens {
			return invalidArgument("parts", "part %d has no ID, or %d is not a number of tokens", i+1, p.Tokens)
		}
	}
	for _, x := range []struct {
		name  string
		value float64
	}{{"left", m.Left}, {"elapsed", m.Elapsed}} {
		if !(x.value >= 0) || x.value > time.Hour.Seconds() {
			return invalidArgument(x.name, "%v is not a number of seconds up to an hour", x.value)
		}
	}
	return nil
}

// identifyExplained is identify for a request whose customer is given by name. The request is never nil.
func (f *Forwarder) identifyExplained(m *schema.ExplainRequest) (*Request, error) {
	now := f.Timer.Now()
	r := &Request{
		Host: m.Name, Path: m.Path, Method: http.MethodPost, Header: http.Header{}, Model: m.Model,
		HintTokens: clamper.Tokens(m.Hint), ArrivedAt: now,
	}
	r.SetTokens(m.Input, m.Output, m.Stated)
	for _, p := range m.Parts {
		r.Parts = append(r.Parts, scheduler.PromptPart{ID: p.Id, Tokens: p.Tokens})
	}
	if x := f.index.Load(); m.Route != "" && x != nil {
		route := x.routeNamed(m.Route)
		if route == nil {
			return r, unknown("route", m.Route)
		}
		r.Host, r.Path = route.Host, route.Prefix
	}
	x, err := f.findRoute(r)
	var refusal *Refusal
	switch {
	case errors.As(err, &refusal) && refusal.Cause == causeNoRoute:
		return r, unknown("route", m.Name+m.Path)
	case err != nil:
		return r, err
	}
	if m.Customer != "" && x.snapshot.Customer(m.Customer) == nil {
		return r, unknown("customer", m.Customer)
	}
	r.DeadlineAt = now + seconds(m.Left)
	if m.Left == 0 {
		r.DeadlineAt = now + seconds(r.route.Timeout)
	}
	if x.needsKey(r.route) {
		if m.Customer == "" {
			return r, invalidArgument("customer", "route %q needs one", r.route.Name)
		}
		r.customer = x.snapshot.Customer(m.Customer)
		if err := f.checkFreshness(f.MaxConfirmationAge); err != nil {
			return r, err
		}
	}
	r.describe(x, seconds(m.Elapsed))
	return r, nil
}

// routeNamed returns the route with a name; nil if there is none.
func (x *index) routeNamed(name string) *schema.Route {
	for _, list := range x.routes {
		for _, r := range list {
			if r.Name == name {
				return r
			}
		}
	}
	return nil
}

// admitExplained returns the refusal of a request before a pool serves it, and adds the limits of its customer to a reply.
func (f *Forwarder) admitExplained(r *Request, reply *schema.ExplainReply) error {
	if err := f.checkQuarantine(r); err != nil {
		return err
	}
	if refusal := f.refuseStopping(r); refusal != nil {
		return refusal
	}
	if r.customer == nil {
		return nil
	}
	limit, err := f.limitOf(r.customer.Name, r.tokens())
	reply.Limit = limit
	var over *allocator.OverRateError
	if !errors.As(err, &over) {
		return err
	}
	limit.Missing, limit.Retry = rounded(over.MissingTokens), over.RetryAfter.Seconds()
	return refuseOver(over, r.tokenWait())
}

// limitOf returns what this host holds of a customer's limits, nil if it has none, and how a charge would be answered.
func (f *Forwarder) limitOf(customer string, tokens float64) (*schema.ExplainedLimit, error) {
	h, limited, err := f.Bucket.Peek(customer, tokens)
	if !limited {
		return nil, err
	}
	return &schema.ExplainedLimit{
		Customer: customer, Rate: h.Limits.Rate, Burst: h.Limits.Burst, Level: rounded(h.Level), Borrowed: rounded(h.Borrowed),
		Share: rounded(h.Rate), Capacity: rounded(h.Burst), Left: rounded(h.Left.Seconds()), Demand: rounded(h.DemandRate), Tokens: tokens,
	}, err
}

// dryChooser returns a chooser that changes nothing. Its first random number is first.
func (f *Forwarder) dryChooser(first float64, further *rand.Rand) regionChooser {
	drawn := false
	return regionChooser{
		random: func() float64 {
			if drawn {
				return further.Float64()
			}
			drawn = true
			return first
		},
		responsive: func(all []regionLoad) []regionLoad {
			now := f.Timer.Now()
			return slices.DeleteFunc(all, func(x regionLoad) bool { return f.monitor.isUnresponsive(x.region, now) })
		},
	}
}

// canRelay reports whether a request can be relayed to a region now.
func (f *Forwarder) canRelay(r *Request, region string) bool {
	return region != "" && f.checkRelay(r, region) == nil && len(f.EntryHosts(region)) > 0
}

// explainPool explains what serveHere and serveRemotely would do with a request in its pool.
func (f *Forwarder) explainPool(r *Request) *schema.ExplainedPool {
	p := &schema.ExplainedPool{Pool: r.pool, Digests: f.digestsAge(), Loads: secondsOr(f.Scheduler.LoadsAge())}
	further := rand.New(rand.NewPCG(1, 1))
	atHome := r.allows(f.Region)
	chances := map[string]float64{}
	reachable := map[string]bool{} // by region; to ask sorts the hosts of the region
	for i := range explanationDraws {
		c := f.dryChooser((float64(i)+0.5)/explanationDraws, further)
		region := ""
		if atHome {
			region = f.chooseRegion(r, c)
		} else {
			region = f.chooseNext(r, map[string]bool{}, c)
		}
		if _, asked := reachable[region]; !asked {
			reachable[region] = f.canRelay(r, region)
		}
		if !reachable[region] {
			region = ""
		}
		chances[region] += 1. / explanationDraws
	}
	likeliest := slices.MaxFunc(slices.Sorted(maps.Keys(chances)), func(a, b string) int {
		return cmp.Compare(chances[a], chances[b])
	})
	p.Regions = f.explainRegions(r, chances)
	if !atHome {
		p.Outcome = f.passedOr(r, errors.Join(errNotHome, refuse(http.StatusServiceUnavailable, causeNoHome, unavailableRetryDelay)))
		return p
	}
	o := f.Scheduler.Explain(r.schedulerRequest(nil))
	p.Outcome = f.localOutcome(r, o)
	if errors.Is(o.Err, scheduler.ErrNoUpstream) && p.Outcome.Kind == outcomeRefused {
		x := *r
		x.lastResort = true
		if last := f.Scheduler.Explain(x.schedulerRequest(nil)); !errors.Is(last.Err, scheduler.ErrNoUpstream) {
			o = last
			p.Outcome = f.localOutcome(&x, o)
		}
	}
	if likeliest != "" {
		p.Outcome = &schema.ExplainedOutcome{Kind: outcomePassed, Regions: []string{likeliest}, Otherwise: p.Outcome}
	}
	p.Waiting, p.Ordered = int32(o.Waiting), o.Ordered
	p.Upstreams = explainUpstreams(o)
	return p
}

// localOutcome returns what becomes of a request that is not offloaded.
func (f *Forwarder) localOutcome(r *Request, o *scheduler.Explanation) *schema.ExplainedOutcome {
	switch {
	case o.Upstream != "":
		return &schema.ExplainedOutcome{Kind: outcomeSent, Upstream: o.Upstream}
	case o.Waits:
		return &schema.ExplainedOutcome{Kind: outcomeWaits, Wait: o.Wait.Seconds(), Limit: o.Limit.Seconds()}
	}
	return f.passedOr(r, o.Err)
}

// passedOr returns the outcome of a request that has no slot here: the regions that are asked in turn, and the refusal err
// if none of them takes it.
func (f *Forwarder) passedOr(r *Request, err error) *schema.ExplainedOutcome {
	var regions []string
	asked := map[string]bool{}
	for c := f.dryChooser(0.5, rand.New(rand.NewPCG(1, 1))); ; {
		region := f.chooseNext(r, asked, c)
		if region == "" {
			break
		}
		asked[region] = true
		if f.canRelay(r, region) {
			regions = append(regions, region)
		}
	}
	refused := refusedOutcome(err)
	if len(regions) == 0 {
		return refused
	}
	return &schema.ExplainedOutcome{Kind: outcomePassed, Regions: regions, Otherwise: refused}
}

func refusedOutcome(err error) *schema.ExplainedOutcome {
	x := refusalOf(err)
	return &schema.ExplainedOutcome{Kind: outcomeRefused, Status: int32(x.Status), Cause: x.Cause, Retry: x.RetryAfter.Seconds()}
}

// explainRegions returns the regions that have the pool, this one first.
func (f *Forwarder) explainRegions(r *Request, chances map[string]float64) []*schema.ExplainedRegion {
	now, o := f.Timer.Now(), f.assignment(r.pool)
	full := func(region string) bool { return o != nil && o.Full(region) }
	use := f.Scheduler.PoolUtilization(r.schedulerRequest(nil))
	here := &schema.ExplainedRegion{Region: f.Region, Load: rounded(use.UsedFraction), Slots: float64(use.Slots), Full: full(f.Region)}
	if !r.allows(f.Region) {
		here.Reason = regionNoHome
	} else {
		here.Chance = rounded(chances[""])
	}
	all := []*schema.ExplainedRegion{here}
	others := f.otherRegions(r)
	for _, x := range others {
		e := &schema.ExplainedRegion{Region: x.region, Load: rounded(x.load), Slots: x.slots, Chance: rounded(chances[x.region]), Full: full(x.region)}
		switch {
		case f.monitor.isUnresponsive(x.region, now):
			e.Reason = regionSilent
		case !f.canRelay(r, x.region):
			e.Reason = regionNoRelaying
		}
		all = append(all, e)
	}
	for _, d := range f.digests() {
		known := slices.ContainsFunc(others, func(x regionLoad) bool { return x.region == d.Region })
		switch {
		case d.Region == f.Region || known:
		case !r.allows(d.Region):
			all = append(all, &schema.ExplainedRegion{Region: d.Region, Reason: regionNoHome})
		default:
			all = append(all, &schema.ExplainedRegion{Region: d.Region, Reason: regionNoSlots})
		}
	}
	return all
}

func explainUpstreams(o *scheduler.Explanation) []*schema.ExplainedUpstream {
	var all []*schema.ExplainedUpstream
	for _, u := range o.Upstreams {
		x := &schema.ExplainedUpstream{
			Upstream: u.Name, Condition: u.Condition.String(), Reason: string(u.Reason), Preferred: u.Preferred, Chance: rounded(u.Chance),
			Expected: rounded(u.Expected.Seconds()), Cost: rounded(u.Cost.Seconds()), Uncached: u.Uncached, Cached: u.Cached,
			Running: int32(u.Running), Others: int32(u.Others), Age: rounded(u.Age.Seconds()), Memory: u.Memory,
			Output: rounded(u.Estimate.Output), Work: rounded(u.Estimate.Work.Seconds()), Left: rounded(u.Estimate.WorkLeft.Seconds()),
			Caused: rounded(u.Estimate.Caused.Seconds()), Lost: rounded(u.Estimate.Loss.Seconds()), Held: u.Estimate.Held, Needed: u.Estimate.Needed,
		}
		if e := u.Engine; e != nil {
			x.Speed, x.Step = speedOf(e), rounded(e.Step.Seconds())
		}
		all = append(all, x)
	}
	return all
}

// speedOf returns the tokens of prompts that an engine reads in a second.
func speedOf(e *scheduler.EngineState) float64 { return math.Round(1 / max(1e-9, e.Prefill.Seconds())) }

// State returns what the decisions of this host rest on. It changes nothing.
func (f *Forwarder) State(m *schema.EntryStateRequest) (*schema.EntryStateReply, error) {
	if err := f.checkAsked(m.Host, ""); err != nil {
		return nil, err
	}
	reply := &schema.EntryStateReply{
		Host: f.Host, Region: f.Region, Certainty: f.certainty(), Adaptive: f.adaptive(), Inflight: f.Inflight(),
		Streams: f.spools.held.Load(), Waits: f.spools.waits.Load(), Responses: f.Buffers.Used(), Loads: secondsOr(f.Scheduler.LoadsAge()), Digests: f.digestsAge(),
	}
	x := f.index.Load()
	if x != nil {
		reply.Version = x.snapshot.Version
	}
	if m.Customer != "" {
		if x == nil || x.snapshot.Customer(m.Customer) == nil {
			return nil, unknown("customer", m.Customer)
		}
		reply.Limit, _ = f.limitOf(m.Customer, 0) // what is held says whether a charge would be refused
	}
	for _, u := range f.Scheduler.UpstreamStates() {
		s := &schema.UpstreamState{
			Upstream: u.Name, Pool: u.Pool, Condition: u.Condition.String(), Slots: int32(u.Slots), Running: int32(u.Running), Others: int32(u.Others),
			Age: rounded(u.Age.Seconds()), Memory: u.Memory,
		}
		if e := u.Engine; e != nil {
			s.Work, s.Held, s.Speed, s.Step = rounded(e.Work.Seconds()), e.Held, speedOf(e), rounded(e.Step.Seconds())
		}
		reply.Upstreams = append(reply.Upstreams, s)
	}
	reply.Assignments = f.assignedPools()
	return reply, nil
}

// assignedPools returns the assignments of this host and what they were computed from.
func (f *Forwarder) assignedPools() []*schema.AssignedPool {
	a := &f.assignments
	a.mu.Lock()
	defer a.mu.Unlock()
	now := f.Timer.Now()
	var all []*schema.AssignedPool
	for _, name := range slices.Sorted(maps.Keys(a.pools)) {
		p := a.pools[name]
		if p.output == nil || p.state == nil {
			continue
		}
		m := &schema.AssignedPool{Pool: name, Age: rounded((now - p.computedAt).Seconds()), Used: f.assignment(name) == p.output, Factor: rounded(p.factor)}
		for i, region := range p.output.Regions {
			m.Regions = append(m.Regions, &schema.AssignedRegion{Region: region, Capacity: rounded(p.output.Capacity[i]), Utilization: rounded(p.output.Utilization[i])})
		}
		for _, d := range p.state.demands {
			m.Demands = append(m.Demands, &schema.AssignedDemand{Homes: assigner.HomesKey(d.Homes), Caller: d.Caller, Work: rounded(d.Work), Shared: rounded(d.Shared)})
		}
		for _, k := range slices.SortedFunc(maps.Keys(p.output.Assignments), func(a, b assigner.Key) int {
			return strings.Compare(a.Homes+"/"+a.Caller, b.Homes+"/"+b.Caller)
		}) {
			w := &schema.AssignedWork{Homes: k.Homes, Caller: k.Caller, Kept: p.output.Assignments[k].Kept}
			for _, x := range p.output.Assignments[k].Weights {
				w.Weights = append(w.Weights, rounded(x))
			}
			m.Weights = append(m.Weights, w)
		}
		all = append(all, m)
	}
	return all
}

// certainty returns the time in seconds since the configuration was confirmed as the newest; negative if it never was.
func (f *Forwarder) certainty() float64 {
	age, known := f.ConfirmationAge()
	if !known {
		return -1
	}
	return rounded(age.Seconds())
}

// digestsAge returns the time in seconds since the load of the other regions was received; negative if it never was.
func (f *Forwarder) digestsAge() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.regionDigests) == 0 {
		return -1
	}
	return rounded((f.Timer.Now() - f.digestsAt).Seconds())
}

func secondsOr(d time.Duration) float64 {
	if d < 0 {
		return -1
	}
	return rounded(d.Seconds())
}

// rounded returns x with 4 decimals, which is finer than any figure is known.
func rounded(x float64) float64 { return math.Round(x*1e4) / 1e4 }
