// Package replicator is the deterministic core of the control log: a step function
// after Raft with pre-vote, quorum check, leader lease, learners and single-step
// membership changes.
//
// A Replica takes messages and clock ticks and gives back an Output: what must be
// synced, then sent, then applied, in that order. It does no input or output, reads
// no clock and starts no goroutine, so that tests can drive every interleaving.
package replicator
