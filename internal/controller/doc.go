// Package controller is the control role: it joins the replicator, the disk and the
// configuration, agrees on changes with the other control hosts and feeds entry hosts.
//
// The replica is stepped under one lock; what a step gives is synced before anything is
// sent or answered. The protocol decisions are the replicator's, the meaning of commands
// is the configurer's.
package controller
