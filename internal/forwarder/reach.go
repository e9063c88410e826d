package forwarder

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

const (
	// Time without a word from another region, while it owes one, after which requests that
	// may be served here are not sent there: the way there and back, and a retransmission.
	silenceTime = 700 * time.Millisecond
	// Pause between questions to a silent region, and the time that each may take.
	helloPause = 500 * time.Millisecond
	helloTime  = time.Second
)

// reach knows which regions answer. Every relayed request is acknowledged before it is
// served, so a region that is cut off is noticed within silenceTime.
type reach struct {
	mu      sync.Mutex
	regions map[string]*contact // guarded by mu
}

// contact is what was heard of one region.
type contact struct {
	// owed is since when an acknowledgement is due; 0: none is.
	owed time.Duration
	// hello is when the region was last asked whether it is there.
	hello time.Duration
}

func (x *reach) contact(region string) *contact {
	if x.regions == nil {
		x.regions = map[string]*contact{}
	}
	if x.regions[region] == nil {
		x.regions[region] = &contact{}
	}
	return x.regions[region]
}

// ask notes that something was sent to a region.
func (x *reach) ask(region string, now time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if c := x.contact(region); c.owed == 0 {
		c.owed = now
	}
}

// hear notes a word from a region, and reports whether it had been silent.
func (x *reach) hear(region string, now time.Duration) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	c := x.contact(region)
	silent := c.silent(now)
	c.owed = 0
	return silent
}

// silent reports whether a region owes a word for too long, and whether it should be asked.
func (x *reach) silent(region string, now time.Duration) (silent, hello bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	c := x.contact(region)
	if !c.silent(now) {
		return false, false
	}
	if now-c.hello < helloPause {
		return true, false
	}
	c.hello = now
	return true, true
}

func (c *contact) silent(now time.Duration) bool { return c.owed > 0 && now-c.owed > silenceTime }

// heard returns the regions that answer, and asks the others whether they do again.
func (f *Forwarder) heard(all []remote) []remote {
	return slices.DeleteFunc(all, func(x remote) bool {
		silent, hello := f.reach.silent(x.region, f.Timer.Now())
		if hello {
			f.Log.Warn().Str("region", x.region).Msg("region does not answer")
			go f.hello(x.region)
		}
		return silent
	})
}

// hello asks a host of a region for a word.
func (f *Forwarder) hello(region string) {
	peer := f.peer(region)
	if peer == nil {
		return
	}
	conn, err := f.Dialer.Conn(peer.Internal)
	if err != nil {
		f.Log.Warn().Err(err).Str("region", region).Msg("no way to a region")
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), helloTime)
	defer cancel()
	stream, err := schema.NewRelayServiceClient(conn).Relay(ctx, &schema.RelayRequest{})
	if err != nil {
		return // the region stays silent, which was logged
	}
	if _, err := stream.Recv(); err == nil {
		f.answers(region)
	}
}

// answers notes a word from a region.
func (f *Forwarder) answers(region string) {
	if f.reach.hear(region, f.Timer.Now()) {
		f.Log.Info().Str("region", region).Msg("region answers again")
	}
}
