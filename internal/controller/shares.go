package controller

import (
	"sync"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// shareLogInterval bounds the log lines on figures that cannot be used.
const shareLogInterval = time.Second

// shareLog bounds the log lines on what hosts report of standing shares.
type shareLog struct {
	mu       sync.Mutex
	nextAt   time.Duration // when the next line on an unusable figure may be written; guarded by mu
	unusable uint64        // number of unusable figures that the leader had counted with its last line; guarded by mu
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

// grantShares takes what an entry host reports of its callers' demand and of its standing shares, and returns the shares
// that it may use from now on. The report is not passed on to other hosts.
func (k *Cluster) grantShares(p *schema.Peer) []*schema.Share {
	defer func() { p.Demands, p.Standing = nil, nil }()
	if k.Granter == nil {
		return nil
	}
	shares, s := k.Granter.Grant(p)
	if s.UnusableField != "" && k.shares.allows(k.c.Timer.Now()) {
		k.c.Log.Warn().Str("peer", p.Name).Str("field", s.UnusableField).Float64("value", s.UnusableValue).Msg("report on tokens cannot be used")
	}
	if s.Granted > 0 || s.Ended > 0 {
		k.c.Log.Info().Str("peer", p.Name).Uint64("incarnation", p.Incarnation).Uint64("number", p.Number).Int("demands", len(p.Demands)).Int("held", len(p.Standing)).
			Int("granted", s.Granted).Int("renewed", s.Renewed).Int("refused", s.Refused).Int("ended", s.Ended).Float64("rate", s.Rate).Msg("standing shares decided")
	}
	return shares
}

// allot returns the leader's allotment for a control host that reports.
func (k *Cluster) allot(p *schema.Peer) *schema.Allotment {
	allotment := k.Allocator.Allot(p)
	if s := k.Allocator.Stats(); s.Unusable != k.shares.counted() && k.shares.allows(k.c.Timer.Now()) {
		k.shares.count(s.Unusable)
		k.c.Log.Warn().Str("control", s.UnusableHost).Str("field", s.UnusableField).Uint64("unusable", s.Unusable).Msg("report on tokens cannot be used")
	}
	return allotment
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
