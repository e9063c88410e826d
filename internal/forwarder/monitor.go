package forwarder

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/confiner"
)

const (
	// Time without a reply from another region, while one is due, after which requests that may
	// be served here are not sent there: a round trip and one retransmission.
	replyTimeout = 700 * time.Millisecond
	// Interval of probes of an unresponsive region, and the timeout of each.
	probeInterval = 500 * time.Millisecond
	probeTimeout  = time.Second
)

// regionMonitor tracks which regions respond. Every relayed request is acknowledged before
// it is served, so a partitioned region is detected within replyTimeout.
type regionMonitor struct {
	mu      sync.Mutex
	regions map[string]*regionState // guarded by mu
}

// regionState is what is known of one region. Its times are on the timer's clock.
type regionState struct {
	// awaitingSince is the time since which a reply is due; 0 if none is.
	awaitingSince time.Duration
	// probedAt is the time of the last probe.
	probedAt time.Duration
}

func (m *regionMonitor) state(region string) *regionState {
	if m.regions == nil {
		m.regions = map[string]*regionState{}
	}
	if m.regions[region] == nil {
		m.regions[region] = &regionState{}
	}
	return m.regions[region]
}

// recordRequest records that a request was sent to a region.
func (m *regionMonitor) recordRequest(region string, now time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c := m.state(region); c.awaitingSince == 0 {
		c.awaitingSince = now
	}
}

// recordReply records a reply from a region, and reports whether the region was unresponsive.
func (m *regionMonitor) recordReply(region string, now time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.state(region)
	wasUnresponsive := c.unresponsive(now)
	c.awaitingSince = 0
	return wasUnresponsive
}

// check reports whether a reply from a region is overdue, and whether the caller should probe
// the region now; it counts such a probe as sent.
func (m *regionMonitor) check(region string, now time.Duration) (unresponsive, probe bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.state(region)
	if !c.unresponsive(now) {
		return false, false
	}
	if now-c.probedAt < probeInterval {
		return true, false
	}
	c.probedAt = now
	return true, true
}

// isUnresponsive reports whether a reply from a region is overdue.
func (m *regionMonitor) isUnresponsive(region string, now time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.regions[region]
	return c != nil && c.unresponsive(now)
}

func (c *regionState) unresponsive(now time.Duration) bool {
	return c.awaitingSince > 0 && now-c.awaitingSince > replyTimeout
}

// responsiveRegions removes unresponsive regions from all, and probes them.
func (f *Forwarder) responsiveRegions(all []regionLoad) []regionLoad {
	return slices.DeleteFunc(all, func(x regionLoad) bool {
		unresponsive, probe := f.monitor.check(x.region, f.Timer.Now())
		if probe {
			f.Log.Warn().Str("region", x.region).Msg("region is unresponsive; probing it")
			go confiner.Call(f.Log, "probe", func() { f.probeRegion(x.region) })
		}
		return unresponsive
	})
}

// probeRegion asks an entry host of a region for an acknowledgement.
func (f *Forwarder) probeRegion(region string) {
	entry := f.entryHost(region)
	if entry == nil {
		return
	}
	conn, err := f.Dialer.Conn(entry.Internal)
	if err != nil {
		f.Log.Warn().Err(err).Str("region", region).Msg("connecting to an entry host of a region failed")
		return
	}
	if err := f.acknowledge(context.Background(), conn); err != nil {
		return // the region stays unresponsive, which was logged
	}
	f.regionReplied(region)
}

// regionReplied records a reply from a region, and logs if the region was unresponsive.
func (f *Forwarder) regionReplied(region string) {
	if f.monitor.recordReply(region, f.Timer.Now()) {
		f.Log.Info().Str("region", region).Msg("region responds again")
	}
}
