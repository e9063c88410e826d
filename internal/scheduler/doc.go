// Package scheduler decides who waits, who is refused and where work goes, for the
// upstreams of one region as one entry host sees them. It has no network: it is told of
// upstreams, of other hosts' load and of how each request fares, and reads time from the
// timer service.
//
// For each candidate it predicts when the first token would come: prompt tokens still to be
// read there, less those cached, at a pace that it learns. A request goes where its first
// token is expected first. It waits while no candidate can take it in time, in order of
// rank and then of its objective, and is refused at once when waiting would not help.
//
// A cold upstream gets work from one host only, its owner, at a bounded rate.
package scheduler
