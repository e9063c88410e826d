// Package forecaster forecasts when slots of one pool become free for the requests of one host, tells
// refused callers when to return, and recognises them when they do. It knows no upstreams and reads
// no clock.
package forecaster
