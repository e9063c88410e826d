// Package cataloger holds a host's table of the reports that upstreams and entry hosts give of
// themselves. It decides which of two reports is newer and which upstream owns an address, and
// returns what changed since a position. The table is soft state: nothing is stored, and a host
// that restarts fills it from the next reports.
//
// The package sends and receives nothing itself and does not choose upstreams.
package cataloger
