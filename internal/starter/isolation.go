package starter

import (
	"context"
	"slices"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// minConnectedFraction is the fraction of a region's ready hosts that must reach its upstreams for callers to be sent
// to these alone. Fewer could not take the callers of all.
const minConnectedFraction = 0.25

// preferConnected returns the hosts that reach the upstreams of their region, or all hosts if those are too few.
func preferConnected(hosts []*schema.Peer) []*schema.Peer {
	connected := slices.DeleteFunc(slices.Clone(hosts), isIsolated)
	if float64(len(connected)) < minConnectedFraction*float64(len(hosts)) {
		return hosts
	}
	return connected
}

func isIsolated(p *schema.Peer) bool { return p.Isolated }

// upstreamAddresses returns the addresses of the region's upstreams that report; if none does, of all.
func (e *Entry) upstreamAddresses() []string {
	var reporting, all []string
	for _, a := range e.Table.Upstreams() {
		if a.Region != e.Settings.Region || a.Address == "" {
			continue
		}
		all = append(all, a.Address)
		if !a.Silent {
			reporting = append(reporting, a.Address)
		}
	}
	if len(reporting) > 0 {
		return reporting
	}
	return all
}

// served reports whether a ready host of a region reaches upstreams there, as far as any host is ready.
func (e *Entry) served(region string) bool {
	if region == e.Settings.Region && !e.prober.Isolated() {
		return true
	}
	return e.Table.Served(region)
}

// applyIsolation is called after this host lost its way to all upstreams of its region, or found one again.
func (e *Entry) applyIsolation(isolated bool) {
	e.scheduler.ForgetFailures()
	e.refresher.ReportNow()
	if !isolated {
		e.scheduler.DispatchAll()
	}
}

// refused reports whether an upstream refuses connections while others accept them. If this host reaches no upstream,
// refused blocks until ctx ends: the upstream has then neither refused nor accepted one.
func (e *Entry) refused(ctx context.Context, address string) bool {
	if !e.pool.Refused(ctx, address) {
		return false
	}
	if e.prober.Confirm(ctx) {
		<-ctx.Done()
		return false
	}
	return true
}
