// Package cataloger is a control host's table of what upstreams and entry hosts say of
// themselves. It decides which of two reports is newer and who owns an address, and gives
// out what changed since a position. It is soft state: nothing is stored, and a host that
// starts anew learns everything again from the next reports.
//
// It sends and receives nothing itself and does not choose upstreams.
package cataloger
