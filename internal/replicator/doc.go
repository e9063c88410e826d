// Package replicator implements the Raft consensus algorithm for the control log, with
// pre-vote, check quorum, leader leases, learners and membership changes of one member
// at a time.
//
// A Replica is a deterministic state machine. It takes messages and clock ticks and
// returns an Output: what the caller must sync, then send, then apply, in that order. It
// does no I/O, reads no clock and starts no goroutine, so tests can drive every
// interleaving.
package replicator
