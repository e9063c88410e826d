package recorder

import (
	"google.golang.org/protobuf/proto"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// recovery is what a holder that is not ready has received from the other holders of a group.
type recovery struct {
	records   map[string]*schema.Record
	lastKeys  map[string][]byte // by holder: key after which its next page begins
	completed map[string]bool   // holders whose last page was received
}

// RecoveryRequests returns the recovery requests that this holder must send to become ready, by
// host. Each asks for the page after the last one received. isWitness reports whether this host is
// a witness for a region, which gets records without answers.
func (h *Holder) RecoveryRequests(isWitness func(region string) bool) map[string][]*schema.SurveyRequest {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := map[string][]*schema.SurveyRequest{}
	for region, g := range h.groups {
		if g.ready || g.holders == nil {
			continue
		}
		if g.recovery == nil {
			g.recovery = &recovery{records: map[string]*schema.Record{}, lastKeys: map[string][]byte{}, completed: map[string]bool{}}
		}
		for _, other := range g.holders {
			if other != h.Host && !g.recovery.completed[other] {
				out[other] = append(out[other], &schema.SurveyRequest{
					Region: region, Version: g.version, Holder: h.Host, Incarnation: h.Incarnation,
					After: g.recovery.lastKeys[other], Witness: isWitness(region),
				})
			}
		}
	}
	return out
}

// ApplyRecoveryReply processes another holder's reply to the recovery request q. The holder becomes
// ready once it knows every intent accepted by any majority that included an earlier
// incarnation of it. The error is ErrNotDurable.
func (h *Holder) ApplyRecoveryReply(other string, q *schema.SurveyRequest, reply *schema.SurveyReply) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	g := h.groups[q.Region]
	if g == nil || g.ready || g.recovery == nil || q.Version != g.version || q.Incarnation != h.Incarnation {
		return nil
	}
	if reply.Seen > h.Incarnation {
		// An earlier process used a higher number. The recovery starts again with a number
		// above that one.
		h.Incarnation = reply.Seen + 1
		g.recovery = nil
		return nil
	}
	if !reply.Ready {
		return nil
	}
	for _, r := range reply.Records {
		g.recovery.add(r)
		g.recovery.lastKeys[other] = r.Key
	}
	if reply.More {
		return nil
	}
	g.recovery.completed[other] = true
	if len(g.recovery.completed) < len(g.holders)-Quorum(len(g.holders))+1 {
		return nil
	}
	return h.finishRecovery(q.Region, g)
}

// add merges a record into those received from other holders.
func (rec *recovery) add(r *schema.Record) {
	rec.records[string(r.Key)] = mergeRecords(rec.records[string(r.Key)], r)
}

// mergeRecords returns the record of higher precedence: an outcome (with its answer, without,
// unknown) before an intent, an intent before a claim that was given up. a may be nil. Two
// intents of different claims become an intent of neither, which giving up one of the two does
// not replace: the other may have been granted.
func mergeRecords(a, b *schema.Record) *schema.Record {
	switch {
	case a == nil:
		return b
	case precedence(b) > precedence(a):
		return b
	case precedence(a) > precedence(b) || a.Claim == b.Claim || a.State != schema.RecordState_RECORD_INTENT:
		return a
	}
	conflict := proto.Clone(a).(*schema.Record)
	conflict.Claim = ""
	conflict.Expires = max(a.Expires, b.Expires)
	return conflict
}

func precedence(r *schema.Record) int {
	switch r.State {
	case schema.RecordState_RECORD_DONE:
		if len(r.Type) > 0 {
			return 5
		}
		return 4
	case schema.RecordState_RECORD_UNKNOWN:
		return 3
	case schema.RecordState_RECORD_INTENT:
		return 2
	}
	return 1
}

func (h *Holder) finishRecovery(region string, g *group) error {
	var recovered []*schema.Record
	for key, r := range g.recovery.records {
		if merged := mergeRecords(g.records[key], r); merged != g.records[key] {
			recovered = append(recovered, merged)
		}
	}
	if err := h.appendRecords(region, recovered); err != nil {
		return err
	}
	for _, r := range recovered {
		g.records[string(r.Key)] = r
	}
	g.ready = true
	g.recovery = nil
	return h.persistReady(region, g)
}
