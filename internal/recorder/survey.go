package recorder

import (
	"google.golang.org/protobuf/proto"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// survey is what a holder that is not ready has learnt from the others.
type survey struct {
	records map[string]*schema.Record
	after   map[string][]byte // where each holder's next page begins
	done    map[string]bool
}

// Surveys returns the requests that this holder must send to become ready, by host. At
// first each asks for the first page.
func (h *Holder) Surveys(outside func(region string) bool) map[string][]*schema.SurveyRequest {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := map[string][]*schema.SurveyRequest{}
	for region, g := range h.groups {
		if g.ready || g.holders == nil {
			continue
		}
		if g.survey == nil {
			g.survey = &survey{records: map[string]*schema.Record{}, after: map[string][]byte{}, done: map[string]bool{}}
		}
		for _, other := range g.holders {
			if other != h.Host && !g.survey.done[other] {
				out[other] = append(out[other], &schema.SurveyRequest{
					Region: region, Version: g.version, Holder: h.Host, Incarnation: h.Incarnation,
					After: g.survey.after[other], Witness: outside(region),
				})
			}
		}
	}
	return out
}

// Surveyed takes a reply. The holder becomes ready once it knows every intent that any
// majority with its former self has accepted.
func (h *Holder) Surveyed(other string, q *schema.SurveyRequest, reply *schema.SurveyReply) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	g := h.groups[q.Region]
	if g == nil || g.ready || g.survey == nil || q.Version != g.version || q.Incarnation != h.Incarnation {
		return nil
	}
	if reply.Seen > h.Incarnation {
		// Another process used a higher number. The survey begins again with a higher one.
		h.Incarnation = reply.Seen + 1
		g.survey = nil
		return nil
	}
	if !reply.Ready {
		return nil
	}
	for _, r := range reply.Records {
		g.survey.merge(r)
		g.survey.after[other] = r.Key
	}
	if reply.More {
		return nil
	}
	g.survey.done[other] = true
	if len(g.survey.done) < len(g.holders)-Quorum(len(g.holders))+1 {
		return nil
	}
	return h.becomeReady(q.Region, g)
}

// merge keeps what is known of a key from two holders.
func (s *survey) merge(r *schema.Record) {
	s.records[string(r.Key)] = join(s.records[string(r.Key)], r)
}

// join returns the record that says more: an outcome before an intent, an intent before a
// claim that was given up. Two intents of different claims become one of neither, which
// giving up one of them does not clear: the other may have been granted.
func join(a, b *schema.Record) *schema.Record {
	switch {
	case a == nil:
		return b
	case weight(b) > weight(a):
		return b
	case weight(a) > weight(b) || a.Claim == b.Claim || a.State != schema.RecordState_RECORD_INTENT:
		return a
	}
	both := proto.Clone(a).(*schema.Record)
	both.Claim = ""
	both.Expires = max(a.Expires, b.Expires)
	return both
}

func weight(r *schema.Record) int {
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

func (h *Holder) becomeReady(region string, g *group) error {
	var learnt []*schema.Record
	for key, r := range g.survey.records {
		if joined := join(g.records[key], r); joined != g.records[key] {
			learnt = append(learnt, joined)
		}
	}
	if err := h.writeRecords(region, learnt); err != nil {
		return err
	}
	for _, r := range learnt {
		g.records[string(r.Key)] = r
	}
	g.ready = true
	g.survey = nil
	return h.noteReady(region, g)
}
