package starter

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/trefoilloft/trefoilloft/internal/apportioner"
	"github.com/trefoilloft/trefoilloft/internal/cataloger"
	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

// Interval at which the capacities of listed hosts are checked, and the shortest time between two log lines.
const capacityCheckInterval = time.Second

// capacityLister draws lists of hosts by capacity, where these are uneven.
type capacityLister struct {
	self     string
	timer    *timer.Service
	log      zerolog.Logger
	unusable *prometheus.CounterVec // by field
	lengths  prometheus.Histogram

	mu        sync.Mutex
	checkedAt time.Duration // 0: never; guarded by mu
}

func newCapacityLister(self string, clock *timer.Service, log zerolog.Logger) *capacityLister {
	return &capacityLister{
		self: self, timer: clock, log: log,
		unusable: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "trefoil_unusable_capacities_total", Help: "Capacities of listed hosts that cannot be right, once a second and host, by field.",
		}, []string{"field"}),
		lengths: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "trefoil_directory_list_hosts", Help: "Hosts of a list that was drawn by capacity.", Buckets: []float64{1, 2, 4, 6, 8, 16, 32, 48, 64},
		}),
	}
}

// list returns the hosts for callers of a region and failure domain.
func (c *capacityLister) list(hosts []*schema.Peer, region, domain string) []*schema.Peer {
	c.check(hosts)
	list := apportioner.List(hosts, apportioner.ListQuery{Region: region, Domain: domain, Self: c.self, Max: MaxListedHosts})
	c.lengths.Observe(float64(len(list)))
	return list
}

// check counts the capacities that cannot be right, and logs the first one.
func (c *capacityLister) check(hosts []*schema.Peer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.timer.Now()
	if c.checkedAt > 0 && now-c.checkedAt < capacityCheckInterval {
		return
	}
	c.checkedAt = now
	logged := false
	for _, p := range hosts {
		if p.Capacity == nil || apportioner.Usable(p.Capacity) {
			continue
		}
		field := apportioner.UnusableField(p.Capacity)
		c.unusable.WithLabelValues(field).Inc()
		if !logged {
			logged = true
			c.log.Warn().Str("host", p.Name[:min(len(p.Name), cataloger.MaxNameLength)]).Str("field", field).Float64("cores", p.Capacity.Cores).Float64("link", p.Capacity.Link).
				Msg("capacity of a host cannot be used")
		}
	}
}
