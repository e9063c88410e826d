// Package pooler keeps connections to upstreams and sends one request at a time on each.
//
// It exists because http.Transport repeats requests by itself on connections that it finds
// closed, and does not tell which connection served: a request that may run at most once
// cannot be left to it. Here a request is written once. What is known when it fails is in
// the error: ErrNotSent, ErrReset, ErrSilent, ErrGarbled.
//
// It knows HTTP but not what headers mean, and it does not choose upstreams.
package pooler
