package forwarder

import (
	"context"
	"errors"
	"net/http"

	"github.com/trefoilloft/trefoilloft/internal/pooler"
	"github.com/trefoilloft/trefoilloft/internal/quarantiner"
	"github.com/trefoilloft/trefoilloft/internal/scheduler"
)

// sharedParts returns the parts of the prompt that other requests may share: all but the last.
func (r *Request) sharedParts() []quarantiner.Part {
	if r.keyedParts == nil && len(r.Parts) > 1 {
		for _, p := range r.Parts[:len(r.Parts)-1] {
			r.keyedParts = append(r.keyedParts, quarantiner.Part{ID: p.ID, Key: quarantiner.PartKey(p.ID)})
		}
	}
	return r.keyedParts
}

// checkQuarantine returns a refusal if a part of the prompt is quarantined. It is called when a
// request arrives and before each attempt.
func (f *Forwarder) checkQuarantine(r *Request) error {
	if f.Quarantine == nil {
		return nil
	}
	for _, p := range r.sharedParts() {
		if left, found := f.Quarantine.Find(p.Key); found {
			refusal := refuse(http.StatusServiceUnavailable, causeQuarantined, left)
			refusal.Part = p.ID
			return refusal
		}
	}
	return nil
}

// isQuarantined reports whether err is a refusal for a quarantined part, also one by a host of another
// region.
func isQuarantined(err error) bool {
	var r *Refusal
	return errors.As(err, &r) && r.Cause == causeQuarantined
}

// observe returns the observation of an attempt.
func (f *Forwarder) observe(r *Request, reservation *scheduler.Reservation) *quarantiner.Run {
	if f.Observer == nil {
		return nil
	}
	u := quarantiner.Upstream{Name: reservation.Name, Address: reservation.Address, Incarnation: reservation.Incarnation}
	return f.Observer.Start(u, r.sharedParts())
}

// recordEnd records how an attempt that was sent ended.
func recordEnd(ctx context.Context, run *quarantiner.Run, err error) {
	brokenOff := errors.Is(err, pooler.ErrConnectionLost) || errors.Is(err, pooler.ErrMalformedResponse) || errors.Is(err, errUnfinished)
	switch {
	case err == nil:
		run.RecordComplete()
	case brokenOff && ctx.Err() == nil:
		run.RecordLost()
	}
}
