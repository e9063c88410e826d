// Package persister stores a control replica's identity, Raft hard state, log and snapshot
// in one data folder. The replicator decides what must be synced and when.
package persister
