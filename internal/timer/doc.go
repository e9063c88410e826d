// Package timer is the source of time and of timed calls: other packages subscribe to it to
// be called once or at intervals, and read its clock. Tests drive it with a manual clock.
//
// The clock counts from an arbitrary start and is never set. It continues while the host is
// suspended, so that a lease that expires during a suspension is seen as expired.
package timer
