package forwarder

import (
	"context"
	"encoding/hex"
	"errors"
	"net/http"

	"github.com/trefoilloft/trefoilloft/internal/pooler"
	"github.com/trefoilloft/trefoilloft/internal/quarantiner"
	"github.com/trefoilloft/trefoilloft/internal/scheduler"
)

// quarantineParts returns what may be quarantined of the request: the request itself, and the parts of
// the prompt that others may share, all but the last.
func (r *Request) quarantineParts() []quarantiner.Part {
	if r.keyedParts == nil {
		key := r.contentKey()
		r.keyedParts = append(r.keyedParts, quarantiner.Part{ID: hex.EncodeToString(quarantiner.AppendKey(nil, key)), Key: key})
		for _, p := range r.Parts[:max(0, len(r.Parts)-1)] {
			r.keyedParts = append(r.keyedParts, quarantiner.Part{ID: p.ID, Key: quarantiner.PartKey(p.ID)})
		}
	}
	return r.keyedParts
}

// checkQuarantine returns a refusal if the request or parts of its prompt are quarantined. It is called
// when a request arrives and before each attempt.
func (f *Forwarder) checkQuarantine(r *Request) error {
	if f.Quarantine == nil {
		return nil
	}
	parts := r.quarantineParts()
	p, retryAfter, found := f.Quarantine.FindIn(parts, r.trial)
	if r.brokenOff {
		p, retryAfter, found = f.Quarantine.FindInRepeat(parts)
	}
	if !found {
		return nil
	}
	cause := causePartQuarantined
	if p.Key == parts[0].Key {
		cause = causeRequestQuarantined
	}
	refusal := refuse(http.StatusServiceUnavailable, cause, retryAfter)
	refusal.Part = p.ID
	return refusal
}

// admitTrial checks an arriving request like checkQuarantine. If it would be refused and a trial of the part
// was granted to this host, the request is the trial.
func (f *Forwarder) admitTrial(r *Request) error {
	err := f.checkQuarantine(r)
	if err == nil {
		return nil
	}
	p, _, found := f.Quarantine.FindIn(r.quarantineParts(), 0)
	if !found {
		return nil // the quarantine has just ended
	}
	f.Quarantine.RecordRefusal(p.Key)
	if !f.Quarantine.TakeTrial(p.Key) {
		return err
	}
	r.trial = p.Key
	f.Log.Info().Str("id", r.ID).Str("part", p.ID).Msg("request sent as the trial of a quarantined part")
	return f.checkQuarantine(r)
}

// isQuarantined reports whether err is a refusal of a quarantined request, or for a part of its prompt,
// also one by a host of another region.
func isQuarantined(err error) bool {
	var r *Refusal
	return errors.As(err, &r) && (r.Cause == causeRequestQuarantined || r.Cause == causePartQuarantined)
}

// observe returns the observation of an attempt.
func (f *Forwarder) observe(r *Request, reservation *scheduler.Reservation) *quarantiner.Run {
	if f.Observer == nil {
		return nil
	}
	u := quarantiner.Upstream{Name: reservation.Name, Address: reservation.Address, Incarnation: reservation.Incarnation}
	return f.Observer.Start(u, r.quarantineParts())
}

// recordEnd records how an attempt that was sent ended.
func recordEnd(ctx context.Context, r *Request, run *quarantiner.Run, err error) {
	brokenOff := errors.Is(err, pooler.ErrConnectionLost) || errors.Is(err, pooler.ErrMalformedResponse) || errors.Is(err, errUnfinished)
	switch {
	case err == nil:
		run.RecordComplete()
	case brokenOff && ctx.Err() == nil:
		r.brokenOff = true
		run.RecordLost()
	}
}
