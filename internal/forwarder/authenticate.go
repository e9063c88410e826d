package forwarder

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/timer"
)

// HashExternalKey returns the hash under which an API key that was chosen outside the system is
// stored: SHA-256, in hexadecimal.
func HashExternalKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// identify finds the request's route and customer, and derives its pool, priority, regions
// and times from them.
func (f *Forwarder) identify(r *Request) error {
	x, err := f.findRoute(r)
	if err != nil {
		return err
	}
	if err := f.authenticate(r, x); err != nil {
		return err
	}
	r.pool = pickPool(r.route, f.random())
	f.usage.record(r.route.Name)
	r.describe(x, f.deadlines.elapsed(r.route.Name, r.DeadlineAt-r.ArrivedAt))
	return nil
}

// findRoute finds the request's route in the configuration that is in force, which it returns.
func (f *Forwarder) findRoute(r *Request) (*index, error) {
	x := f.index.Load()
	if x == nil || x.snapshot.DocumentNumber() == 0 {
		return nil, refuse(http.StatusServiceUnavailable, causeNoConfig, startRetryDelay)
	}
	r.configVersion = x.snapshot.Version
	r.route = x.route(r.Host, r.Path)
	if r.route == nil {
		return nil, f.refuseUnlessStale(refuse(http.StatusNotFound, causeNoRoute, 0))
	}
	return x, nil
}

// describe derives the request's priority, regions and times from its route and customer. Elapsed is the time since the
// caller's first attempt.
func (r *Request) describe(x *index, elapsed time.Duration) {
	r.priority = int(r.route.Priority)
	if r.customer != nil && r.customer.Priority != nil {
		r.priority = int(*r.customer.Priority)
	}
	r.bind(x, homes(r.route, r.customer))
	r.objectiveAt = r.ArrivedAt + seconds(r.route.Objective) - elapsed
	r.answerUntil = min(r.DeadlineAt, r.ArrivedAt+seconds(r.route.Timeout))
}

// authenticate finds the customer whose key the request presents. A withdrawn key must stop
// working within a bounded time even on a host that receives no updates, so every key is
// refused unless the configuration was confirmed within MaxConfirmationAge.
func (f *Forwarder) authenticate(r *Request, x *index) error {
	if !x.needsKey(r.route) {
		return nil
	}
	r.keyHash = HashExternalKey(r.Key)
	if err := f.checkFreshness(f.MaxConfirmationAge); err != nil {
		return err
	}
	r.customer = x.customer(r.keyHash)
	if r.customer == nil {
		return refuse(http.StatusUnauthorized, causeNoKey, 0)
	}
	return nil
}

// recheckKey returns a refusal if the key, which was valid in the newest configuration, may have been withdrawn
// since: the request may have waited.
func (f *Forwarder) recheckKey(r *Request) error {
	if r.customer == nil || r.relayed {
		return nil
	}
	return f.checkFreshness(f.MaxConfirmationAge)
}

// checkFreshness returns a refusal if the configuration was last confirmed longer ago than
// maxAge, or never.
func (f *Forwarder) checkFreshness(maxAge time.Duration) error {
	age, known := f.ConfirmationAge()
	if !known || age > maxAge {
		return refuse(http.StatusServiceUnavailable, causeStale, staleRetryDelay)
	}
	return nil
}

// refuseUnlessStale returns r, or a refusal to retry later if the configuration may be out of
// date.
func (f *Forwarder) refuseUnlessStale(r *Refusal) error {
	if err := f.checkFreshness(f.MaxConfirmationAge); err != nil {
		return err
	}
	return r
}

func seconds(s float64) time.Duration { return timer.Seconds(s) }
