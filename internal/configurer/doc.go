// Package configurer is the state machine of the configuration: it applies commands of
// the control log in order and gives the items that each one changed.
//
// It is deterministic: every control host that applies the same commands holds the same
// items, version and running hash. Items are never changed once stored, so that a
// Snapshot may be shared. It does not know how commands are agreed on or spread.
package configurer
