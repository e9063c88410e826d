// Package controller implements the control role: it connects the replicator, the disk and
// the configuration, agrees on changes with the other control hosts and sends the
// configuration to entry hosts.
//
// The replica is stepped under one lock, and the output of a step is synced to disk before
// anything is sent or answered. Package replicator makes the protocol decisions; package
// configurer defines what commands mean.
package controller
