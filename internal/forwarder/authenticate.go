package forwarder

import (
	"crypto/sha256"
	"encoding/hex"
	"math/rand/v2"
	"net/http"
	"time"
)

// HashKey returns the hash under which a key that was chosen outside is stored.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// identify finds the route and the customer of a request.
func (f *Forwarder) identify(r *Request) error {
	x := f.index.Load()
	if x == nil || x.snapshot.Document() == 0 {
		return refuse(http.StatusServiceUnavailable, causeNoConfig, startRetry)
	}
	r.version = x.snapshot.Version
	r.route = x.route(r.Host, r.Path)
	if r.route == nil {
		return f.unlessStale(refuse(http.StatusNotFound, causeNoRoute, 0))
	}
	if err := f.authenticate(r, x); err != nil {
		return err
	}
	r.pool = pick(r.route, rand.Float64())
	r.rank = int(r.route.Priority)
	if r.customer != nil && r.customer.Priority != nil {
		r.rank = int(*r.customer.Priority)
	}
	r.regions = homes(r.route, r.customer)
	waited := f.limits.elapsed(r.route.Name, r.Deadline-r.Arrived)
	r.objected = r.Arrived + seconds(r.route.Objective) - waited
	r.end = min(r.Deadline, r.Arrived+seconds(r.route.Timeout))
	return nil
}

// authenticate finds the customer whose key the request presents. A key that was
// withdrawn must be dead within a bound even here, so without a certainty that is fresh
// enough no key is good.
func (f *Forwarder) authenticate(r *Request, x *index) error {
	if !x.keyed || r.route.Open {
		return nil
	}
	r.hash = HashKey(r.Key)
	if err := f.fresh(f.KeyLimit); err != nil {
		return err
	}
	r.customer = x.customer(r.hash)
	if r.customer == nil {
		return refuse(http.StatusUnauthorized, causeNoKey, 0)
	}
	return nil
}

// recheck repeats the check of the key just before a request is sent: it may have waited.
func (f *Forwarder) recheck(r *Request) error {
	if r.customer == nil || r.relayed {
		return nil
	}
	if err := f.fresh(f.KeyLimit); err != nil {
		return err
	}
	if f.index.Load().customer(r.hash) == nil {
		return refuse(http.StatusUnauthorized, causeNoKey, 0)
	}
	return nil
}

// fresh returns a refusal if the configuration was last confirmed longer ago than limit.
func (f *Forwarder) fresh(limit time.Duration) error {
	age, sure := f.Age()
	if !sure || age > limit {
		return refuse(http.StatusServiceUnavailable, causeStale, staleRetry)
	}
	return nil
}

// unlessStale returns a refusal, or another one if the configuration may be out of date.
func (f *Forwarder) unlessStale(r *Refusal) error {
	if err := f.fresh(f.KeyLimit); err != nil {
		return err
	}
	return r
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
