// Package persister keeps a control replica's identity, ballot, log and snapshots under
// one data folder. It decides nothing: the replicator says what must be synced.
package persister
