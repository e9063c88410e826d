package recorder

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/trefoilloft/trefoilloft/internal/journaler"
	"github.com/trefoilloft/trefoilloft/internal/schema"
)

const (
	// Retention is how long a record is kept. A call that is resent after that may run again.
	Retention = 24 * time.Hour
	// Maximum number of records in one reply to a recovery request.
	maxRecordsPerReply = 500
	// Maximum number of records written to the journal with one sync.
	maxRecordsPerSync = 1000
	// MaxAnswerBytes is the size of the largest answer that is kept for resends, in bytes.
	MaxAnswerBytes = 64 << 10
)

// ErrNotDurable is returned if a holder could not write a record or its state to the journal.
var ErrNotDurable = errors.New("recorder: cannot write to the journal")

// Holder keeps the records of the groups that this host belongs to. Set the exported
// fields, then call Open. It is safe for concurrent use.
type Holder struct {
	// Host is the name of this host.
	Host string
	// Incarnation identifies this process; later processes of the host have higher numbers.
	Incarnation uint64 // guarded by mu after Open: a recovery may raise it
	// UnixSeconds returns the wall clock time in seconds since 1970.
	UnixSeconds func() int64
	// Journal keeps the records over a restart. Nil: a restart loses them.
	Journal *journaler.Journal

	mu       sync.Mutex
	openedAt int64             // seconds since 1970; guarded by mu
	groups   map[string]*group // by region; guarded by mu
}

// group is the state of one region's group at this holder.
type group struct {
	version uint64
	holders []string // names of hosts; nil: not configured since the start
	// ready: this holder knows every unexpired intent that any of its incarnations accepted,
	// and may accept more. An operator's reset makes it ready regardless.
	ready bool
	// knownIncarnations holds the newest incarnation of each other holder that has sent this
	// one a recovery request, by host.
	knownIncarnations map[string]uint64
	records           map[string]*schema.Record // by key
	recovery          *recovery                 // nil: none under way
}

// Open reads the journal, if there is one. A group that the journal holds as ready is ready at
// once, since its records were not lost.
func (h *Holder) Open() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.groups = map[string]*group{}
	h.openedAt = h.UnixSeconds()
	if h.Journal == nil {
		return nil
	}
	return h.Journal.Open(func(_ uint64, payload []byte) error {
		held := &schema.Held{}
		if err := proto.Unmarshal(payload, held); err != nil {
			return err
		}
		g := h.ensureGroup(held.Region)
		if held.Record == nil {
			g.version, g.ready = held.Ready, true
			return nil
		}
		g.records[string(held.Record.Key)] = held.Record
		return nil
	})
}

func (h *Holder) ensureGroup(region string) *group {
	g := h.groups[region]
	if g == nil {
		g = &group{knownIncarnations: map[string]uint64{}, records: map[string]*schema.Record{}}
		h.groups[region] = g
	}
	return g
}

// Configure applies a group's configuration. One that is older than the present one, or was
// applied since Open, is ignored. If this host is not a holder, the group's records are removed
// from memory. The error is ErrNotDurable.
func (h *Holder) Configure(m *schema.Group) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	g := h.ensureGroup(m.Region)
	if m.Version < g.version || (m.Version == g.version && g.holders != nil) {
		return nil
	}
	isHolder := slices.Contains(m.Holders, h.Host)
	remainsReady := g.ready && (m.Version == g.version || m.Version == g.version+1)
	// Version 1 has one holder, which is no majority: no intent can have been granted, so
	// there is nothing to recover.
	g.ready = isHolder && (remainsReady || m.Version == 1 || m.Reset_)
	g.version, g.holders = m.Version, slices.Clone(m.Holders)
	g.recovery = nil
	if !isHolder {
		delete(h.groups, m.Region)
		return nil
	}
	return h.persistReady(m.Region, g)
}

// persistReady writes to the journal that the holder is ready for a group, so that it is ready
// again at once after a restart. The caller holds mu.
func (h *Holder) persistReady(region string, g *group) error {
	if !g.ready || h.Journal == nil {
		return nil
	}
	return h.appendEntries(&schema.Held{Region: region, Ready: g.version})
}

// appendEntries makes entries durable in the journal, all or none. Without a journal it does
// nothing. The caller holds mu.
func (h *Holder) appendEntries(entries ...*schema.Held) error {
	if h.Journal == nil || len(entries) == 0 {
		return nil
	}
	var payloads [][]byte
	for _, held := range entries {
		b, err := proto.Marshal(held)
		if err != nil {
			return fmt.Errorf("%w: %w", ErrNotDurable, err)
		}
		payloads = append(payloads, b)
	}
	if err := h.Journal.Append(payloads...); err != nil {
		return fmt.Errorf("%w: %w", ErrNotDurable, err)
	}
	return nil
}

// ReadyGroups returns the versions of the groups for which this holder is ready, by region.
func (h *Holder) ReadyGroups() map[string]uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := map[string]uint64{}
	for region, g := range h.groups {
		h.markReadyAfterRetention(g)
		if g.ready {
			out[region] = g.version
		}
	}
	return out
}

// markReadyAfterRetention makes the holder ready for a group once every record that it may have
// lost has expired. The caller holds mu.
func (h *Holder) markReadyAfterRetention(g *group) {
	if !g.ready && g.holders != nil && h.UnixSeconds()-h.openedAt > int64(Retention.Seconds()) {
		g.ready = true
	}
}

// Claim accepts or rejects an intent to run a call. The reply holds the record that the key
// already has, unless that is of another claim that was given up. The error is ErrNotDurable;
// the holder is then no longer ready for the group.
func (h *Holder) Claim(r *schema.ClaimRequest) (*schema.ClaimReply, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	g := h.ensureGroup(r.Region)
	h.markReadyAfterRetention(g)
	reply := &schema.ClaimReply{Holder: h.Host, Version: g.version, Incarnation: h.Incarnation, Ready: g.ready, Known: maps.Clone(g.knownIncarnations)}
	if old := h.unexpiredRecord(g, r.Key); old != nil && !(old.State == schema.RecordState_RECORD_VOID && old.Claim != r.Claim) {
		reply.Record = old
		reply.Accepted = g.ready && r.Version == g.version && old.Claim == r.Claim && old.State == schema.RecordState_RECORD_INTENT
		return reply, nil
	}
	if !g.ready || r.Version != g.version {
		return reply, nil
	}
	record := &schema.Record{Key: r.Key, Body: r.Body, Claim: r.Claim, State: schema.RecordState_RECORD_INTENT, Expires: r.Expires}
	if err := h.appendEntries(&schema.Held{Region: r.Region, Record: record}); err != nil {
		g.ready = false
		return nil, err
	}
	g.records[string(r.Key)] = record
	reply.Accepted = true
	return reply, nil
}

// unexpiredRecord returns the record of a key, or nil if there is none or if it has expired.
// The caller holds mu.
func (h *Holder) unexpiredRecord(g *group, key []byte) *schema.Record {
	old := g.records[string(key)]
	if old != nil && old.Expires < h.UnixSeconds() {
		delete(g.records, string(key))
		return nil
	}
	return old
}

// Settle stores how a claim ended. Only the claimant settles its claim. The record of a claim
// that ran, or may have run, replaces the intent of any other claim, since no other was or
// will be granted. The error is ErrNotDurable.
func (h *Holder) Settle(region string, r *schema.Record) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	g := h.groups[region]
	if g == nil {
		return nil
	}
	old := h.unexpiredRecord(g, r.Key)
	if old != nil && precedence(old) >= precedence(r) && old.State != schema.RecordState_RECORD_INTENT {
		return nil
	}
	if old != nil && old.Claim != r.Claim && r.State == schema.RecordState_RECORD_VOID {
		return nil
	}
	if err := h.appendEntries(&schema.Held{Region: region, Record: r}); err != nil {
		return err
	}
	g.records[string(r.Key)] = r
	return nil
}

// ServeRecovery answers another holder's recovery request with a page of this holder's records, if
// this holder is ready, and remembers the other's incarnation.
func (h *Holder) ServeRecovery(r *schema.SurveyRequest) *schema.SurveyReply {
	h.mu.Lock()
	defer h.mu.Unlock()
	g := h.ensureGroup(r.Region)
	h.markReadyAfterRetention(g)
	reply := &schema.SurveyReply{Version: g.version, Seen: g.knownIncarnations[r.Holder]}
	if !g.ready || r.Version != g.version || r.Incarnation < reply.Seen {
		return reply
	}
	g.knownIncarnations[r.Holder] = r.Incarnation
	reply.Ready = true
	reply.Records, reply.More = g.recordsAfter(r.After, r.Witness)
	return reply
}

func (g *group) recordsAfter(after []byte, witness bool) ([]*schema.Record, bool) {
	var page []*schema.Record
	for _, key := range slices.Sorted(maps.Keys(g.records)) {
		if bytes.Compare([]byte(key), after) <= 0 && len(after) > 0 {
			continue
		}
		if len(page) == maxRecordsPerReply {
			return page, true
		}
		record := g.records[key]
		if witness {
			record = WithoutAnswer(record)
		}
		page = append(page, record)
	}
	return page, false
}

// WithoutAnswer returns a copy of a record without the answer, which must not leave its region.
func WithoutAnswer(r *schema.Record) *schema.Record {
	return &schema.Record{Key: r.Key, Body: r.Body, Claim: r.Claim, State: r.State, Expires: r.Expires}
}

// Lookup returns this holder's record of a key, or nil if there is none or if it has expired.
func (h *Holder) Lookup(region string, key []byte) *schema.Record {
	h.mu.Lock()
	defer h.mu.Unlock()
	if g := h.groups[region]; g != nil {
		return h.unexpiredRecord(g, key)
	}
	return nil
}

// Prune deletes expired records and, if there were any, rewrites the journal without them.
func (h *Holder) Prune() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.UnixSeconds()
	expired := 0
	for _, g := range h.groups {
		before := len(g.records)
		maps.DeleteFunc(g.records, func(_ string, r *schema.Record) bool { return r.Expires < now })
		expired += before - len(g.records)
	}
	if expired == 0 {
		return nil
	}
	return h.rewriteJournal()
}

func (h *Holder) rewriteJournal() error {
	if h.Journal == nil {
		return nil
	}
	segment, err := h.Journal.Rotate()
	if err != nil {
		return err
	}
	for region, g := range h.groups {
		if err := h.appendRecords(region, slices.Collect(maps.Values(g.records))); err != nil {
			return err
		}
		if err := h.persistReady(region, g); err != nil {
			return err
		}
	}
	return h.Journal.DropBefore(segment)
}

// appendRecords writes records to the journal, maxRecordsPerSync with each sync. The caller
// holds mu.
func (h *Holder) appendRecords(region string, records []*schema.Record) error {
	for batch := range slices.Chunk(records, maxRecordsPerSync) {
		var entries []*schema.Held
		for _, r := range batch {
			entries = append(entries, &schema.Held{Region: region, Record: r})
		}
		if err := h.appendEntries(entries...); err != nil {
			return err
		}
	}
	return nil
}

// RecordCount returns the number of records held, including expired ones not yet deleted.
func (h *Holder) RecordCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, g := range h.groups {
		n += len(g.records)
	}
	return n
}
