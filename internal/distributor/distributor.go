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
	// Number of deltas kept for followers that lag; one that lags more gets a snapshot.
	maxRecentDeltas = 512
	// IdleInterval is the longest time between two replies to a follower, sent without changes
	// if there are none.
	IdleInterval = 500 * time.Millisecond
	// Age of a source's configuration, counted from when a control host sent it or confirmed
	// it, above which the source is given up: twice the time for which a source may send nothing,
	// plus one more hop.
	maxSourceAge = 5 * time.Second
)

// ErrStaleSource says that what a source has was last confirmed by a control host too long
// ago, or at a time that cannot be: the source may follow hosts that follow it in turn.
var ErrStaleSource = errors.New("distributor: source's configuration not confirmed by a control host")

// ErrDiverged says that a source has a configuration of the same version with another hash.
var ErrDiverged = errors.New("distributor: configuration of the same version has another hash")

// Distributor holds the configuration in force at one process, updates it and sends it to
// followers. Set the exported fields before use.
type Distributor struct {
	Timer *timer.Service
	// IsRoot says that the process is a control host's, which follows no source.
	IsRoot bool
	// OnChange is called after each change, in the order of versions, while mu is not held.
	// Nil: not called.
	OnChange func(*configurer.Snapshot)
	// Store makes a new configuration durable before it is put in force; an error keeps the
	// old one in force. Nil: nothing is stored.
	Store func(*configurer.Snapshot) error

	// changeMu serializes changes of the configuration; taken before mu.
	changeMu     sync.Mutex
	mu           sync.Mutex
	current      *configurer.Snapshot // guarded by mu
	recentDeltas []*schema.Delta      // guarded by mu; ends at current
	nextChange   chan struct{}        // guarded by mu; closed on each change
	confirmedAt  time.Duration        // time on Timer's clock at which a control host last sent or confirmed current; guarded by mu
	packer       packer
}

// Age returns how long ago, on Timer's clock, a control host last sent or confirmed what this
// process has. It is 0 at a control host.
func (d *Distributor) Age() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.IsRoot {
		return 0
	}
	return d.Timer.Now() - d.confirmedAt
}

// confirm records the arrival of a source's reply; age is the source's Age when it sent it.
func (d *Distributor) confirm(age time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.confirmedAt = max(d.confirmedAt, d.Timer.Now()-age)
}

// Current returns the configuration in force: before the first one, an empty one of version 0.
func (d *Distributor) Current() *configurer.Snapshot {
	s, _, _ := d.changesSince(0)
	return s
}

// changesSince returns the configuration in force, the deltas after version (nil if not all
// of them are kept) and a channel that is closed on the next change.
func (d *Distributor) changesSince(version uint64) (*configurer.Snapshot, []*schema.Delta, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.current == nil {
		d.current = configurer.FromMessage(nil)
		d.nextChange = make(chan struct{})
	}
	var deltas []*schema.Delta
	if lag := d.current.Version - version; version <= d.current.Version && lag <= uint64(len(d.recentDeltas)) {
		deltas = d.recentDeltas[uint64(len(d.recentDeltas))-lag:]
	}
	return d.current, deltas, d.nextChange
}

// ApplyDelta puts a delta in force. A delta that is not newer than the configuration in force is
// ignored. After configurer.ErrDeltaMismatch the caller needs the whole snapshot instead.
func (d *Distributor) ApplyDelta(delta *schema.Delta) error {
	d.changeMu.Lock()
	defer d.changeMu.Unlock()
	current := d.Current()
	if delta.Version <= current.Version {
		return nil
	}
	next, err := current.ApplyDelta(delta)
	if err != nil {
		return err
	}
	return d.install(next, delta)
}

// Advance puts next in force, to which delta leads from the version before. One that is not newer than the
// configuration in force is ignored. After configurer.ErrDeltaMismatch the whole snapshot is needed instead.
func (d *Distributor) Advance(delta *schema.Delta, next *configurer.Snapshot) error {
	d.changeMu.Lock()
	defer d.changeMu.Unlock()
	current := d.Current()
	if next.Version <= current.Version {
		return nil
	}
	if next.Version != current.Version+1 {
		return fmt.Errorf("%w: delta of version %d, snapshot of version %d", configurer.ErrDeltaMismatch, next.Version, current.Version)
	}
	return d.install(next, delta)
}

// Replace puts a snapshot in force if it is newer than the configuration in force, and ignores
// an older one. One of the same version with another hash gives ErrDiverged, one with an item that cannot be
// used configurer.ErrInvalidItem.
func (d *Distributor) Replace(next *configurer.Snapshot) error {
	d.changeMu.Lock()
	defer d.changeMu.Unlock()
	current := d.Current()
	if next.Version == current.Version && next.Version > 0 && !bytes.Equal(next.Hash, current.Hash) {
		return fmt.Errorf("%w: version %d", ErrDiverged, next.Version)
	}
	if next.Version <= current.Version {
		return nil
	}
	if err := next.Check(); err != nil {
		return err
	}
	return d.install(next, nil)
}

// install makes next durable, then puts it in force. Delta is the change that leads to it,
// nil if next replaces the configuration as a whole. The caller holds changeMu.
func (d *Distributor) install(next *configurer.Snapshot, delta *schema.Delta) error {
	if d.Store != nil {
		if err := d.Store(next); err != nil {
			return fmt.Errorf("distributor: cannot store the configuration: %w", err)
		}
	}
	d.mu.Lock()
	d.current = next
	d.recentDeltas = append(d.recentDeltas, delta)
	if delta == nil {
		d.recentDeltas = nil
	}
	if len(d.recentDeltas) > maxRecentDeltas {
		d.recentDeltas = d.recentDeltas[len(d.recentDeltas)-maxRecentDeltas:]
	}
	close(d.nextChange)
	d.nextChange = make(chan struct{})
	d.mu.Unlock()
	if d.OnChange != nil {
		d.OnChange(next)
	}
	return nil
}

// UpdateFor returns what a follower at a version and hash needs to be up to date: nothing, the
// deltas after its version, or the whole configuration.
func (d *Distributor) UpdateFor(version uint64, hash []byte) (*schema.Snapshot, []*schema.Delta) {
	current, deltas, _ := d.changesSince(version)
	switch {
	case current.Version < version, current.Version == version && bytes.Equal(current.Hash, hash):
		return nil, nil
	case deltas == nil || current.Version == version || version == 0:
		return current.Message(), nil
	}
	return nil, deltas
}

// Serve sends a follower what it needs to be up to date, then every change, and a reply
// without changes after each IdleInterval. It ends with ctx, or when transmit fails, and
// returns the error.
func (d *Distributor) Serve(ctx context.Context, r *schema.WatchRequest, transmit func(*schema.WatchReply) error) error {
	send := func(reply *schema.WatchReply) error {
		reply.Age = int64(d.Age())
		return transmit(reply)
	}
	version, hash := r.Version, r.Hash
	for {
		current, deltas, nextChange := d.changesSince(version)
		if err := sendUpdate(current, deltas, version, hash, send); err != nil {
			return err
		}
		if current.Version >= version {
			version, hash = current.Version, current.Hash
		}
		if err := d.waitForChange(ctx, nextChange); err != nil {
			return err
		}
	}
}

func sendUpdate(current *configurer.Snapshot, deltas []*schema.Delta, version uint64, hash []byte, send func(*schema.WatchReply) error) error {
	upToDate := current.Version == version && bytes.Equal(current.Hash, hash)
	switch {
	case current.Version < version, upToDate:
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

// waitForChange returns after the next change or after IdleInterval, when another reply is due.
func (d *Distributor) waitForChange(ctx context.Context, nextChange <-chan struct{}) error {
	idle := make(chan struct{})
	cancel := d.Timer.Once(IdleInterval, func() { close(idle) })
	defer cancel()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-nextChange:
	case <-idle:
	}
	return nil
}

// ApplyReply puts one reply of a source in force. It reports whether the stream must be reopened
// to get the whole snapshot. After ErrStaleSource another source should be followed.
func (d *Distributor) ApplyReply(reply *schema.WatchReply) (reopen bool, err error) {
	if age := time.Duration(reply.Age); age > maxSourceAge || age < 0 {
		return false, fmt.Errorf("%w for %v", ErrStaleSource, age)
	}
	d.confirm(time.Duration(reply.Age))
	switch {
	case reply.Snapshot != nil:
		return false, d.Replace(configurer.FromMessage(reply.Snapshot))
	case reply.Delta != nil:
		err := d.ApplyDelta(reply.Delta)
		if errors.Is(err, configurer.ErrDeltaMismatch) {
			return true, nil
		}
		return false, err
	}
	return false, nil
}
