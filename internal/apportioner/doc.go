// Package apportioner divides what entry hosts share, by what each of them is asked for or can carry: the free slots of
// the engines of a region, the hosts that receive relays, and the hosts that callers are sent to. Its functions are
// pure: they know no requests, tables, clocks or network.
package apportioner
