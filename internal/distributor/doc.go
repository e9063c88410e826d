// Package distributor distributes the configuration along a tree: control hosts send it to
// one representative host of each failure domain, which sends it to the domain's other hosts.
// Each hop sends only deltas, checked by a running hash, and the whole snapshot when a
// follower lags too far behind or the hashes differ.
//
// The version in force only rises: an older configuration is ignored, whoever sends it. The
// package does not decide what the configuration is.
package distributor
