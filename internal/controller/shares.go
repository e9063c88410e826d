package controller

import (
	"sync"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/allocator"
	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// shareLogInterval bounds the log lines on standing shares.
const shareLogInterval = time.Second

// shareLog bounds the log lines on what hosts report of standing shares.
type shareLog struct {
	mu       sync.Mutex
	nextAt   time.Duration // when the next line on an unusable figure may be written; guarded by mu
	unusable uint64        // number of unusable figures that the leader had counted with its last line; guarded by mu
	// reclaimedAt is when the next line on tokens added to reserves may be written, reclaimed their sum as of the last
	// one; guarded by mu
	reclaimedAt time.Duration
	reclaimed   float64
	// decidedAt is when the next line on decisions may be written, decided the counters as of the last one; guarded by mu
	decidedAt time.Duration
	decided   allocator.GrantStats
}

// next returns the present counters and those of the last line on decisions, and false if it is too early for another.
func (l *shareLog) next(now time.Duration, stats func() allocator.GrantStats) (all, logged allocator.GrantStats, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now < l.decidedAt {
		return all, logged, false
	}
	all, logged = stats(), l.decided
	l.decidedAt, l.decided = now+shareLogInterval, all
	return all, logged, true
}

func (l *shareLog) allows(now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now < l.nextAt {
		return false
	}
	l.nextAt = now + shareLogInterval
	return true
}

// knowsLimits reports whether this host can decide on a customer's tokens. A host that has just started, and has not
// applied the newest configuration, may not know a customer that exists.
func (k *Cluster) knowsLimits(customer string) bool {
	_, known := k.Bucket.Limits(customer)
	return known || k.lastConfirmedAt() > 0
}

// grantShares takes what an entry host reports of its callers' demand and of its standing shares, and returns the shares
// that it may use from now on. The report is not passed on to other hosts.
func (k *Cluster) grantShares(p *schema.Peer) []*schema.Share {
	defer func() { p.Demands, p.Standing, p.Allotment = nil, nil, 0 }()
	if k.Granter == nil {
		return nil
	}
	shares, s := k.Granter.Grant(p)
	if s.UnusableField != "" && k.shares.allows(k.c.Timer.Now()) {
		k.c.Log.Warn().Str("peer", p.Name).Str("field", s.UnusableField).Float64("value", s.UnusableValue).Msg("report on tokens cannot be used")
	}
	if s.Granted > 0 || s.Ended > 0 || s.Refused > 0 {
		k.logShares(p, s)
	}
	return shares
}

// logShares logs the decision on one host's report, and what was decided on all since the last line.
func (k *Cluster) logShares(p *schema.Peer, s allocator.GrantSummary) {
	all, logged, ok := k.shares.next(k.c.Timer.Now(), k.Granter.Stats)
	if !ok {
		return
	}
	k.c.Log.Info().Str("peer", p.Name).Uint64("incarnation", p.Incarnation).Uint64("number", p.Number).Int("demands", len(p.Demands)).Int("held", len(p.Standing)).
		Int("granted", s.Granted).Int("renewed", s.Renewed).Int("refused", s.Refused).Int("ended", s.Ended).Float64("rate", s.Rate).
		Uint64("allotment", k.Bucket.AllotmentNumber()).Float64("allRates", all.Rate).Int("customers", all.Customers).
		Uint64("allGranted", all.Granted-logged.Granted).Uint64("allRenewed", all.Renewed-logged.Renewed).
		Uint64("allRefused", all.Refused-logged.Refused).Uint64("allExpired", all.Expired-logged.Expired).Msg("standing shares decided")
}

// allot returns the leader's allotment for a control host that reports.
func (k *Cluster) allot(p *schema.Peer) *schema.Allotment {
	allotment := k.Allocator.Allot(p)
	if tokens, all := k.shares.nextReclaimed(k.c.Timer.Now(), k.Allocator.Stats().ReclaimedTokens); tokens > 0 {
		k.c.Log.Info().Float64("tokens", tokens).Float64("allTokens", all).Msg("unused tokens returned to the reserves")
	}
	if s := k.Allocator.Stats(); s.Unusable != k.shares.counted() && k.shares.allows(k.c.Timer.Now()) {
		k.shares.count(s.Unusable)
		k.c.Log.Warn().Str("control", s.UnusableHost).Str("field", s.UnusableField).Uint64("unusable", s.Unusable).Msg("report on tokens cannot be used")
	}
	return allotment
}

// nextReclaimed returns the tokens added to reserves since the last call that returned some, given the sum of all; 0 if
// it is too early for another line.
func (l *shareLog) nextReclaimed(now time.Duration, sum float64) (tokens, all float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now < l.reclaimedAt || sum <= l.reclaimed {
		return 0, sum
	}
	tokens = sum - l.reclaimed
	l.reclaimedAt, l.reclaimed = now+shareLogInterval, sum
	return tokens, sum
}

func (l *shareLog) counted() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.unusable
}

func (l *shareLog) count(n uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unusable = n
}
