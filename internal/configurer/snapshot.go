package configurer

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// Errors of updating a snapshot.
var (
	// ErrDeltaMismatch says that a delta does not have the version after the snapshot's, or
	// that its running hash does not continue the snapshot's.
	ErrDeltaMismatch = errors.New("configurer: delta does not continue the snapshot")
	// ErrOutdatedSnapshot says that a snapshot is older than the configuration in force.
	ErrOutdatedSnapshot = errors.New("configurer: snapshot is older than the configuration in force")
)

// Snapshot is the whole configuration at one version. It is immutable and may be shared.
type Snapshot struct {
	Version uint64
	// Hash is the running SHA-256 over every delta up to Version, in order.
	Hash []byte
	// items are as they were stated: hosts of all versions hash and compare the same ones. clamped holds those
	// that InRange changes.
	items, clamped map[string]*schema.Item
}

// Item returns the item at path with numbers in range, or nil if there is none.
func (s *Snapshot) Item(path string) *schema.Item {
	if it := s.clamped[path]; it != nil {
		return it
	}
	return s.items[path]
}

// Customer returns a customer by name, or nil.
func (s *Snapshot) Customer(name string) *schema.Customer {
	return s.Item("customer/" + name).GetCustomer()
}

// Key returns a customer's key, or nil, by its hash as authenticator.Hash or, for a key chosen
// outside the system, forwarder.HashExternalKey returns it.
func (s *Snapshot) Key(hash string) *schema.Key { return s.items["key/"+hash].GetKey() }

// Host returns a host by name, or nil.
func (s *Snapshot) Host(name string) *schema.Host { return s.items["host/"+name].GetHost() }

// Group returns the group of hosts that hold a region's idempotency records, or nil.
func (s *Snapshot) Group(region string) *schema.Group { return s.items["group/"+region].GetGroup() }

// Paths returns the paths of all items of a kind ("customer", "host", ...), sorted.
func (s *Snapshot) Paths(kind string) []string {
	var paths []string
	for p := range s.items {
		if strings.HasPrefix(p, kind+"/") {
			paths = append(paths, p)
		}
	}
	slices.Sort(paths)
	return paths
}

// Hosts returns all hosts, sorted by name.
func (s *Snapshot) Hosts() []*schema.Host {
	var hosts []*schema.Host
	for _, p := range s.Paths("host") {
		hosts = append(hosts, s.items[p].GetHost())
	}
	return hosts
}

// Items returns every item as it was stated, sorted by path.
func (s *Snapshot) Items() []*schema.Item {
	items := make([]*schema.Item, 0, len(s.items))
	for _, p := range slices.Sorted(maps.Keys(s.items)) {
		items = append(items, s.items[p])
	}
	return items
}

// Message returns the snapshot as a protobuf message, which shares its items.
func (s *Snapshot) Message() *schema.Snapshot {
	return &schema.Snapshot{Version: s.Version, Hash: s.Hash, Items: s.Items()}
}

// FromMessage returns the snapshot of a protobuf message, whose items it shares. Nil gives
// an empty snapshot of version 0.
func FromMessage(m *schema.Snapshot) *Snapshot {
	s := &Snapshot{Version: m.GetVersion(), Hash: m.GetHash(), items: map[string]*schema.Item{}, clamped: map[string]*schema.Item{}}
	for _, it := range m.GetItems() {
		s.put(it)
	}
	return s
}

// ApplyDelta returns the snapshot after a delta; s stays unchanged. After ErrDeltaMismatch
// the caller needs the whole snapshot instead. After ErrInvalidItem that would not help.
func (s *Snapshot) ApplyDelta(d *schema.Delta) (*Snapshot, error) {
	if d.Version != s.Version+1 || !bytes.Equal(nextHash(s.Hash, d.Version, d.Items), d.Hash) {
		return nil, fmt.Errorf("%w: delta of version %d, snapshot of version %d", ErrDeltaMismatch, d.Version, s.Version)
	}
	next := s.next(d.Version, d.Hash)
	for _, it := range d.Items {
		if it.Removed {
			next.remove(it.Path)
			continue
		}
		if err := checkItem(it); err != nil {
			return nil, err
		}
		next.put(it)
	}
	return next, nil
}

// next returns a copy of a snapshot for the next version, to be changed.
func (s *Snapshot) next(version uint64, hash []byte) *Snapshot {
	return &Snapshot{Version: version, Hash: hash, items: maps.Clone(s.items), clamped: maps.Clone(s.clamped)}
}

func (s *Snapshot) remove(path string) {
	delete(s.items, path)
	delete(s.clamped, path)
}

func (s *Snapshot) put(it *schema.Item) {
	s.items[it.Path] = it
	delete(s.clamped, it.Path)
	if clamped := InRange(it); clamped != it {
		s.clamped[it.Path] = clamped
	}
}

// nextHash returns the running hash after a delta of items, given the one before it.
func nextHash(previous []byte, version uint64, items []*schema.Item) []byte {
	h := sha256.New()
	h.Write(previous)
	_ = binary.Write(h, binary.BigEndian, version)
	for _, it := range items {
		b, err := proto.MarshalOptions{Deterministic: true}.Marshal(it)
		if err != nil {
			panic("configurer: cannot marshal item: " + err.Error())
		}
		_ = binary.Write(h, binary.BigEndian, uint64(len(b)))
		h.Write(b)
	}
	return h.Sum(nil)
}
