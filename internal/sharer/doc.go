// Package sharer orders the requests that wait for a slot of one pool at one host: by rank, and
// within a rank by start-time fair queueing over customers, in expected engine time. It also counts
// what customers use without waiting. It knows no upstreams and reads no clock.
package sharer
