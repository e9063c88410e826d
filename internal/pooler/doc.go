// Package pooler pools connections to upstreams and sends one request at a time on each.
//
// It replaces http.Transport, which resends requests by itself on connections that it finds
// closed, and does not tell which connection was used: a request that may run at most once
// cannot be left to it. This package writes a request once. If it fails, the error says what
// is known of it: ErrNotSent, ErrConnectionLost or ErrMalformedResponse.
//
// It implements HTTP without interpreting headers beyond those of the connection, and does not
// choose upstreams.
package pooler
