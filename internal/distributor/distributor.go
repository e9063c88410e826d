package distributor

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/configurer"
	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

const (
	// Deltas kept for followers that lag a little.
	recentLimit = 512
	// IdleInterval is the longest time between two replies to a follower.
	IdleInterval = 500 * time.Millisecond
	// Age of what a source has from the control hosts at which it is left: two silent
	// intervals of a source, and one more hop.
	staleLimit = 5 * time.Second
)

// ErrStale says that a source has not heard from a control host for too long: it may follow
// hosts that follow it in turn.
var ErrStale = errors.New("distributor: the source hears of no control host")

// ErrDiverged says that a source holds another configuration under the same version.
var ErrDiverged = errors.New("distributor: same version, other content")

// Distributor holds the configuration in force at one process. Set the exported fields
// before use.
type Distributor struct {
	Timer *timer.Service
	// Root is set at control hosts, which follow nobody.
	Root bool
	// Changed is called after each change with the lock not held, in order.
	Changed func(*configurer.Snapshot)
	// Store makes a new configuration durable before it is in force. Nil: no disk.
	Store func(*configurer.Snapshot) error

	// write is held by one changer at a time; taken before mu.
	write   sync.Mutex
	mu      sync.Mutex
	current *configurer.Snapshot // guarded by mu
	recent  []*schema.Delta      // guarded by mu; ends at current
	news    chan struct{}        // guarded by mu; closed on each change
	heard   time.Duration        // when a control host said what this process has; guarded by mu
}

// Age returns how long ago a control host is known to have sent what this process has.
func (d *Distributor) Age() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.Root {
		return 0
	}
	return d.Timer.Now() - d.heard
}

// hear notes how old a source's word was when it arrived.
func (d *Distributor) hear(age time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.heard = max(d.heard, d.Timer.Now()-age)
}

// Current returns the configuration in force. Before the first one it is empty, version 0.
func (d *Distributor) Current() *configurer.Snapshot {
	s, _, _ := d.read(0)
	return s
}

// read returns the configuration, the deltas after version (nil if not all are kept), and
// a channel that is closed on the next change.
func (d *Distributor) read(version uint64) (*configurer.Snapshot, []*schema.Delta, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.current == nil {
		d.current = configurer.FromMessage(nil)
		d.news = make(chan struct{})
	}
	var deltas []*schema.Delta
	if behind := d.current.Version - version; version <= d.current.Version && behind <= uint64(len(d.recent)) {
		deltas = d.recent[uint64(len(d.recent))-behind:]
	}
	return d.current, deltas, d.news
}

// Follow puts a delta in force. configurer.ErrDeltaMismatch says that the snapshot is needed.
func (d *Distributor) Follow(delta *schema.Delta) error {
	d.write.Lock()
	defer d.write.Unlock()
	current := d.Current()
	if delta.Version <= current.Version {
		return nil
	}
	next, err := current.ApplyDelta(delta)
	if err != nil {
		return err
	}
	return d.put(next, delta)
}

// Replace puts a snapshot in force if it is newer than the one that is.
func (d *Distributor) Replace(next *configurer.Snapshot) error {
	d.write.Lock()
	defer d.write.Unlock()
	current := d.Current()
	if next.Version == current.Version && next.Version > 0 && !bytes.Equal(next.Hash, current.Hash) {
		return fmt.Errorf("%w: version %d", ErrDiverged, next.Version)
	}
	if next.Version <= current.Version {
		return nil
	}
	return d.put(next, nil)
}

// put makes next durable, then puts it in force. The caller holds write.
func (d *Distributor) put(next *configurer.Snapshot, delta *schema.Delta) error {
	if d.Store != nil {
		if err := d.Store(next); err != nil {
			return fmt.Errorf("distributor: %w", err)
		}
	}
	d.mu.Lock()
	d.current = next
	d.recent = append(d.recent, delta)
	if delta == nil {
		d.recent = nil
	}
	if len(d.recent) > recentLimit {
		d.recent = d.recent[len(d.recent)-recentLimit:]
	}
	close(d.news)
	d.news = make(chan struct{})
	d.mu.Unlock()
	if d.Changed != nil {
		d.Changed(next)
	}
	return nil
}

// Lacking returns what a follower at a version and hash needs: nothing, deltas, or the
// whole configuration.
func (d *Distributor) Lacking(version uint64, hash []byte) (*schema.Snapshot, []*schema.Delta) {
	current, deltas, _ := d.read(version)
	switch {
	case current.Version < version, current.Version == version && bytes.Equal(current.Hash, hash):
		return nil, nil
	case deltas == nil || current.Version == version || version == 0:
		return current.Message(), nil
	}
	return nil, deltas
}

// Serve sends a follower what it lacks, then every change, until ctx ends or send fails.
func (d *Distributor) Serve(ctx context.Context, r *schema.WatchRequest, transmit func(*schema.WatchReply) error) error {
	send := func(reply *schema.WatchReply) error {
		reply.Age = int64(d.Age())
		return transmit(reply)
	}
	version, hash := r.Version, r.Hash
	for {
		current, deltas, news := d.read(version)
		if err := sendNews(current, deltas, version, hash, send); err != nil {
			return err
		}
		if current.Version >= version {
			version, hash = current.Version, current.Hash
		}
		if err := d.wait(ctx, news); err != nil {
			return err
		}
	}
}

func sendNews(current *configurer.Snapshot, deltas []*schema.Delta, version uint64, hash []byte, send func(*schema.WatchReply) error) error {
	same := current.Version == version && bytes.Equal(current.Hash, hash)
	switch {
	case current.Version < version, same:
		return send(&schema.WatchReply{})
	case deltas == nil || current.Version == version || version == 0:
		return send(&schema.WatchReply{Snapshot: current.Message()})
	}
	for _, delta := range deltas {
		if err := send(&schema.WatchReply{Delta: delta}); err != nil {
			return err
		}
	}
	return nil
}

// wait returns on news or when the follower must hear from us again.
func (d *Distributor) wait(ctx context.Context, news <-chan struct{}) error {
	idle := make(chan struct{})
	cancel := d.Timer.Once(IdleInterval, func() { close(idle) })
	defer cancel()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-news:
	case <-idle:
	}
	return nil
}

// Take puts one reply of a source in force. It reports whether the stream must be opened
// again to get the whole snapshot. ErrStale says that another source should be followed.
func (d *Distributor) Take(reply *schema.WatchReply) (again bool, err error) {
	if age := time.Duration(reply.Age); age > staleLimit {
		return false, fmt.Errorf("%w: for %v", ErrStale, age)
	}
	d.hear(time.Duration(reply.Age))
	switch {
	case reply.Snapshot != nil:
		return false, d.Replace(configurer.FromMessage(reply.Snapshot))
	case reply.Delta != nil:
		err := d.Follow(reply.Delta)
		if errors.Is(err, configurer.ErrDeltaMismatch) {
			return true, nil
		}
		return false, err
	}
	return false, nil
}
