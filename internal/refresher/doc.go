// Package refresher keeps an entry host up to date: it reports to a control host several
// times a second and puts in force what the answer brings, namely the configuration, the
// upstreams of the region, the other entry hosts and this host's part of the limits.
//
// It also knows how old its certainty is: the time, on the boot clock, of the newest
// question whose answer said that nothing newer was accepted. It does not decide what to
// do when that is too old.
package refresher
