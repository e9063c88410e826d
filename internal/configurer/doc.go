// Package configurer is the replicated state machine of the configuration: it applies the
// commands of the control hosts' log in order and returns the items that each one changed.
//
// It is deterministic: control hosts that apply the same commands hold the same items,
// version and running hash. Items are never modified once stored, so that a Snapshot may be
// shared. Replicating the commands and distributing the configuration is left to other
// packages.
package configurer
