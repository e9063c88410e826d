package scheduler

import (
	"maps"

	"github.com/trefoilloft/trefoilloft/internal/apportioner"
	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// updateFractions computes this host's fractions of the free slots of engines by demand, from the load of the other
// hosts as just received. Outside adaptive mode, and while demand is not measured, they are equal. The caller holds mu.
func (s *Scheduler) updateFractions(loads []*schema.PoolLoad) {
	s.fractions = nil
	if s.HostCount == nil || s.OwnDemand == nil || !s.adaptive(s.Timer.Now()) {
		return
	}
	hosts, uses := s.HostCount(), map[string]apportioner.Use{}
	for _, u := range s.upstreams {
		pool := u.announcement.Pool
		if s.Config().Pool(pool).GetEngine() == nil {
			continue
		}
		use := uses[pool]
		use.OwnRequests += max(0, u.running)
		use.AllRequests += max(0, u.running) + max(0, u.otherRunning)
		uses[pool] = use
	}
	for _, l := range loads {
		if use, known := uses[l.Pool]; known {
			use.AllRequests += int(max(0, l.Waiting))
			use.AllDemand = apportioner.Work(l.Demands, s.Region)
			uses[l.Pool] = use
		}
	}
	s.fractions = map[string]apportioner.Fraction{}
	for pool, use := range uses {
		if p := s.pools[pool]; p != nil {
			use.OwnRequests += p.queued()
			use.AllRequests += p.queued()
		}
		demands, reported := s.OwnDemand(pool)
		if !reported {
			continue
		}
		use.Hosts, use.OwnDemand = hosts, apportioner.Work(demands, s.Region)
		s.fractions[pool] = use.Fraction()
	}
}

// fractionOf returns this host's fraction of the free slots of a pool's upstreams. The caller holds mu.
func (s *Scheduler) fractionOf(pool string) float64 {
	if f, known := s.fractions[pool]; known {
		return f.Value
	}
	return s.slotFraction
}

// SlotFractions returns this host's fractions of the free slots by demand, by pool; none outside adaptive mode.
func (s *Scheduler) SlotFractions() map[string]apportioner.Fraction {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.fractions)
}
