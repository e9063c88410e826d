package starter

import (
	"cmp"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

const (
	// MaxListedHosts is the maximum number of hosts that a caller is given.
	MaxListedHosts = 64
	// Fraction of the average number of ready hosts in a region's failure domains below which
	// a domain's callers are also sent to the other domains.
	minDomainFraction = 0.75
)

// listHosts returns the hosts that callers of a failure domain should use, at most MaxListedHosts of
// those given, which are the ready hosts of a region. If there are more, these are the hosts of the
// callers' own domain: every host is listed for some callers, all callers of a domain keep the same
// list while its hosts stay, and load is as even as the callers are. self is the name of the host
// that answers; it only matters for domains with more than MaxListedHosts hosts.
func listHosts(hosts []*schema.Peer, domain, self string) []*schema.Peer {
	if len(hosts) <= MaxListedHosts {
		return hosts
	}
	domains := map[string][]*schema.Peer{}
	for _, p := range hosts {
		domains[p.Domain] = append(domains[p.Domain], p)
	}
	own := domains[domain]
	if float64(len(own)) < minDomainFraction*float64(len(hosts))/float64(len(domains)) {
		own = hosts
	}
	if len(own) <= MaxListedHosts {
		return own
	}
	weight := func(p *schema.Peer) uint64 { return xxhash.Sum64String(self + "/" + p.Name) }
	own = slices.SortedFunc(slices.Values(own), func(a, b *schema.Peer) int { return cmp.Compare(weight(a), weight(b)) })
	return own[:MaxListedHosts]
}

// listSource says which hosts a list for callers of a region holds.
type listSource string

const (
	listReady        listSource = "ready"    // ready hosts of the region
	listStopping     listSource = "stopping" // its hosts that are stopping but still serve
	listOtherRegions listSource = "other"    // ready hosts of other regions
	listEmpty        listSource = "none"
)

// maxLoggedLists bounds the lists whose changes are logged: callers choose names and regions.
const maxLoggedLists = 64

// listKey identifies the lists for callers of one region who ask for one host name.
type listKey struct{ name, region string }

// listObserver counts the lists that callers are given, and logs when they come from another source than
// before.
type listObserver struct {
	log     zerolog.Logger
	counter *prometheus.CounterVec // by source

	mu   sync.Mutex
	last map[listKey]listSource // guarded by mu
}

func newListObserver(log zerolog.Logger) *listObserver {
	return &listObserver{log: log, last: map[listKey]listSource{}, counter: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "trefoil_directory_lists_total", Help: "Lists of hosts given to callers, by which hosts they hold.",
	}, []string{"source"})}
}

// record records one list. Describe adds what decided to the log line.
func (o *listObserver) record(key listKey, source listSource, describe func(*zerolog.Event)) {
	o.counter.WithLabelValues(string(source)).Inc()
	if !o.changed(key, source) {
		return
	}
	o.log.Info().Str("name", key.name).Str("region", key.region).Str("source", string(source)).Func(describe).Msg("directory lists other hosts")
}

// changed reports whether a list comes from another source than the last one. The first is expected to hold
// ready hosts.
func (o *listObserver) changed(key listKey, source listSource) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	last, known := o.last[key]
	if known && last == source || !known && (source == listReady || len(o.last) >= maxLoggedLists) {
		return false
	}
	o.last[key] = source
	return true
}
