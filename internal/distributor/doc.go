// Package distributor spreads the configuration along a tree: control hosts feed one
// representative for each failure domain, which feeds the domain's other hosts. Each
// step sends only deltas, checked by a running hash, and the whole snapshot on a gap.
//
// The version in force only rises: what is older is dropped, whoever sends it. The
// package does not decide what the configuration is.
package distributor
