// Package refresher keeps an entry host up to date: it reports to a control host several
// times a second and applies the reply, which brings the configuration, the upstreams of the
// region, the other entry hosts and this host's allotment of the customers' rates.
//
// It also keeps the time, on the boot clock, at which the configuration was last confirmed as
// the newest one that the control hosts had accepted. What to do when that is too long ago is
// left to its caller.
package refresher
