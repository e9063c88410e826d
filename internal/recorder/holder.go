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
	// Retention is how long a record is kept. A resend after that may run again.
	Retention = 24 * time.Hour
	// Records in one reply to a survey.
	surveyPage = 500
	// Records written with one sync.
	writeBatch = 1000
	// Largest answer that is kept for resends, in bytes.
	AnswerLimit = 64 << 10
)

// ErrDisk says that a holder could not make an acceptance durable.
var ErrDisk = errors.New("recorder: disk failed")

// Holder keeps the records of the groups that this host belongs to. Set the exported
// fields, then call Open.
type Holder struct {
	Host string
	// Incarnation names this process; later processes have higher numbers.
	Incarnation uint64
	// Unix returns the wall clock, seconds since 1970.
	Unix func() int64
	// Journal keeps records over a restart. Nil: no disk.
	Journal *journaler.Journal

	mu      sync.Mutex
	started int64
	groups  map[string]*group // by region; guarded by mu
}

// group is one region's records at this holder.
type group struct {
	version uint64
	holders []string
	ready   bool
	// known is the newest incarnation of each other holder that surveyed this one.
	known   map[string]uint64
	records map[string]*schema.Record
	survey  *survey
}

// Open reads the journal. Records that it holds were never forgotten.
func (h *Holder) Open() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.groups = map[string]*group{}
	h.started = h.Unix()
	if h.Journal == nil {
		return nil
	}
	return h.Journal.Open(func(_ uint64, payload []byte) error {
		held := &schema.Held{}
		if err := proto.Unmarshal(payload, held); err != nil {
			return err
		}
		g := h.group(held.Region)
		if held.Record == nil {
			g.version, g.ready = held.Ready, true
			return nil
		}
		g.records[string(held.Record.Key)] = held.Record
		return nil
	})
}

func (h *Holder) group(region string) *group {
	g := h.groups[region]
	if g == nil {
		g = &group{known: map[string]uint64{}, records: map[string]*schema.Record{}}
		h.groups[region] = g
	}
	return g
}

// Configure puts a group's holders in force.
func (h *Holder) Configure(m *schema.Group) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	g := h.group(m.Region)
	if m.Version < g.version || (m.Version == g.version && g.holders != nil) {
		return nil
	}
	member := slices.Contains(m.Holders, h.Host)
	stays := g.ready && (m.Version == g.version || m.Version == g.version+1)
	// Version 1 has one holder, and one holder is no majority: there is nothing to know.
	g.ready = member && (stays || m.Version == 1 || m.Reset_)
	g.version, g.holders = m.Version, slices.Clone(m.Holders)
	g.survey = nil
	if !member {
		delete(h.groups, m.Region)
		return nil
	}
	return h.noteReady(m.Region, g)
}

// noteReady makes it durable that the holder is ready, which is what lets it be ready
// again at once after a restart.
func (h *Holder) noteReady(region string, g *group) error {
	if !g.ready || h.Journal == nil {
		return nil
	}
	return h.write(&schema.Held{Region: region, Ready: g.version})
}

// write makes entries of the journal durable, all or none.
func (h *Holder) write(entries ...*schema.Held) error {
	if h.Journal == nil || len(entries) == 0 {
		return nil
	}
	var payloads [][]byte
	for _, held := range entries {
		b, err := proto.Marshal(held)
		if err != nil {
			return fmt.Errorf("%w: %w", ErrDisk, err)
		}
		payloads = append(payloads, b)
	}
	if err := h.Journal.Append(payloads...); err != nil {
		return fmt.Errorf("%w: %w", ErrDisk, err)
	}
	return nil
}

// Ready returns the groups for which this host is ready, with their versions.
func (h *Holder) Ready() map[string]uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := map[string]uint64{}
	for region, g := range h.groups {
		h.expireLoss(g)
		if g.ready {
			out[region] = g.version
		}
	}
	return out
}

// expireLoss opens a group once every record that may have been lost has expired.
func (h *Holder) expireLoss(g *group) {
	if !g.ready && g.holders != nil && h.Unix()-h.started > int64(Retention.Seconds()) {
		g.ready = true
	}
}

// Claim accepts or refuses an intent.
func (h *Holder) Claim(r *schema.ClaimRequest) (*schema.ClaimReply, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	g := h.group(r.Region)
	h.expireLoss(g)
	reply := &schema.ClaimReply{Holder: h.Host, Version: g.version, Incarnation: h.Incarnation, Ready: g.ready, Known: maps.Clone(g.known)}
	if old := h.live(g, r.Key); old != nil && !(old.State == schema.RecordState_RECORD_VOID && old.Claim != r.Claim) {
		reply.Record = old
		reply.Accepted = g.ready && r.Version == g.version && old.Claim == r.Claim && old.State == schema.RecordState_RECORD_INTENT
		return reply, nil
	}
	if !g.ready || r.Version != g.version {
		return reply, nil
	}
	record := &schema.Record{Key: r.Key, Body: r.Body, Claim: r.Claim, State: schema.RecordState_RECORD_INTENT, Expires: r.Expires}
	if err := h.write(&schema.Held{Region: r.Region, Record: record}); err != nil {
		g.ready = false
		return nil, err
	}
	g.records[string(r.Key)] = record
	reply.Accepted = true
	return reply, nil
}

// live returns the record of a key unless it has expired.
func (h *Holder) live(g *group, key []byte) *schema.Record {
	old := g.records[string(key)]
	if old != nil && old.Expires < h.Unix() {
		delete(g.records, string(key))
		return nil
	}
	return old
}

// Settle stores how a claim ended. Only the claimant settles its claim. That a claim ran, or
// may have run, replaces the intent of any other: no other was or will be granted.
func (h *Holder) Settle(region string, r *schema.Record) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	g := h.groups[region]
	if g == nil {
		return nil
	}
	old := h.live(g, r.Key)
	if old != nil && weight(old) >= weight(r) && old.State != schema.RecordState_RECORD_INTENT {
		return nil
	}
	if old != nil && old.Claim != r.Claim && r.State == schema.RecordState_RECORD_VOID {
		return nil
	}
	if err := h.write(&schema.Held{Region: region, Record: r}); err != nil {
		return err
	}
	g.records[string(r.Key)] = r
	return nil
}

// Survey gives another holder what this one knows.
func (h *Holder) Survey(r *schema.SurveyRequest) *schema.SurveyReply {
	h.mu.Lock()
	defer h.mu.Unlock()
	g := h.group(r.Region)
	h.expireLoss(g)
	reply := &schema.SurveyReply{Version: g.version, Seen: g.known[r.Holder]}
	if !g.ready || r.Version != g.version || r.Incarnation < reply.Seen {
		return reply
	}
	g.known[r.Holder] = r.Incarnation
	reply.Ready = true
	reply.Records, reply.More = g.page(r.After, r.Witness)
	return reply
}

func (g *group) page(after []byte, witness bool) ([]*schema.Record, bool) {
	var page []*schema.Record
	for _, key := range slices.Sorted(maps.Keys(g.records)) {
		if bytes.Compare([]byte(key), after) <= 0 && len(after) > 0 {
			continue
		}
		if len(page) == surveyPage {
			return page, true
		}
		record := g.records[key]
		if witness {
			record = Witnessed(record)
		}
		page = append(page, record)
	}
	return page, false
}

// Witnessed returns a record without what may not leave its region.
func Witnessed(r *schema.Record) *schema.Record {
	return &schema.Record{Key: r.Key, Body: r.Body, Claim: r.Claim, State: r.State, Expires: r.Expires}
}

// Lookup returns this holder's record of a key, or nil.
func (h *Holder) Lookup(region string, key []byte) *schema.Record {
	h.mu.Lock()
	defer h.mu.Unlock()
	if g := h.groups[region]; g != nil {
		return h.live(g, key)
	}
	return nil
}

// Prune forgets expired records and rewrites the journal without them, if there were any.
func (h *Holder) Prune() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.Unix()
	expired := 0
	for _, g := range h.groups {
		before := len(g.records)
		maps.DeleteFunc(g.records, func(_ string, r *schema.Record) bool { return r.Expires < now })
		expired += before - len(g.records)
	}
	if expired == 0 {
		return nil
	}
	return h.rewrite()
}

func (h *Holder) rewrite() error {
	if h.Journal == nil {
		return nil
	}
	number, err := h.Journal.Rotate()
	if err != nil {
		return err
	}
	for region, g := range h.groups {
		if err := h.writeRecords(region, slices.Collect(maps.Values(g.records))); err != nil {
			return err
		}
		if err := h.noteReady(region, g); err != nil {
			return err
		}
	}
	return h.Journal.Drop(number)
}

// writeRecords writes many records with few syncs.
func (h *Holder) writeRecords(region string, records []*schema.Record) error {
	for batch := range slices.Chunk(records, writeBatch) {
		var entries []*schema.Held
		for _, r := range batch {
			entries = append(entries, &schema.Held{Region: region, Record: r})
		}
		if err := h.write(entries...); err != nil {
			return err
		}
	}
	return nil
}

// Count returns the number of records held.
func (h *Holder) Count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, g := range h.groups {
		n += len(g.records)
	}
	return n
}
