// Package timer is the service that all waiting goes through: parts subscribe to it to be
// called at intervals, and read its clock. A manual clock drives it in tests.
//
// The clock counts from an arbitrary start, never steps, and goes on while the host is
// suspended, so that a lease that ran out during a suspension is seen to have run out.
package timer
