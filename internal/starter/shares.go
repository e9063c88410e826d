package starter

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/trefoilloft/trefoilloft/internal/allocator"
)

// shareCollectors returns the metrics of the standing shares that an entry host holds.
func shareCollectors(b *allocator.Bucket) []prometheus.Collector {
	event := func(event string, count func(allocator.ShareStats) uint64) prometheus.Collector {
		return prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "trefoil_shares_total", Help: "Standing shares at this entry host, by what became of them.", ConstLabels: prometheus.Labels{"event": event},
		}, func() float64 { return float64(count(b.Stats())) })
	}
	return []prometheus.Collector{
		event("granted", func(s allocator.ShareStats) uint64 { return s.Granted }),
		event("renewed", func(s allocator.ShareStats) uint64 { return s.Renewed }),
		event("expired", func(s allocator.ShareStats) uint64 { return s.Expired }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "trefoil_shares_held", Help: "Customers of which this entry host holds a standing share.",
		}, func() float64 { return float64(b.Stats().Held) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "trefoil_share_tokens_spent_total", Help: "Tokens spent out of standing shares.",
		}, func() float64 { return b.Stats().SpentTokens }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "trefoil_unusable_shares_total", Help: "Figures on tokens in messages that cannot be right.",
		}, func() float64 { return float64(b.Stats().Unusable) }),
	}
}

// grantCollectors returns the metrics of the standing shares that a control host grants.
func grantCollectors(g *allocator.Granter, a *allocator.Allocator) []prometheus.Collector {
	event := func(event string, count func(allocator.GrantStats) uint64) prometheus.Collector {
		return prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "trefoil_shares_total", Help: "Standing shares of entry hosts that report here, by what became of them.", ConstLabels: prometheus.Labels{"event": event},
		}, func() float64 { return float64(count(g.Stats())) })
	}
	return []prometheus.Collector{
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "trefoil_reclaimed_tokens_total", Help: "Tokens returned to the reserves by this host as the leader, since no host could spend them.",
		}, func() float64 { return a.Stats().ReclaimedTokens }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "trefoil_reclaim_ready", Help: "1 if this host leads and knows all that may be in use, so that unused tokens return to the reserves.",
		}, func() float64 {
			if a.Stats().Sure {
				return 1
			}
			return 0
		}),
		event("granted", func(s allocator.GrantStats) uint64 { return s.Granted }),
		event("renewed", func(s allocator.GrantStats) uint64 { return s.Renewed }),
		event("refused", func(s allocator.GrantStats) uint64 { return s.Refused }),
		event("expired", func(s allocator.GrantStats) uint64 { return s.Expired }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "trefoil_shares_granted_rate", Help: "Tokens per second that entry hosts may be using as standing shares granted or seen here.",
		}, func() float64 { return g.Stats().Rate }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "trefoil_unusable_shares_total", Help: "Figures on tokens in messages that cannot be right.",
		}, func() float64 { return float64(g.Stats().Unusable + a.Stats().Unusable) }),
	}
}
