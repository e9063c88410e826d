// Package scheduler chooses an upstream for each request among the upstreams of one region,
// as one entry host sees them; it queues the request, or rejects it, if none has room. It
// does no network I/O: its callers pass in the announcements of upstreams, the load of the
// other hosts and the outcome of each request. All times are read from the timer service.
//
// For each candidate it predicts the delay until the first token, from the prompt tokens
// that the upstream has yet to read, less those that it has cached, and a speed that is
// learned from earlier requests. The candidate with the least cost is chosen: the predicted
// delay and what the choice costs other requests. In adaptive mode the predictions rest on the expected work of the
// request and the work left at each engine (package estimator). While no candidate can produce the first
// token in time, the request waits, ordered by rank and then by objective. It is rejected
// at once if the expected wait is too long.
//
// A cold upstream, one whose warm-up time is not over, receives requests from a single host,
// its owner, at a bounded rate. The limit that an upstream names in its answers is divided among
// so few hosts that the sum over all hosts keeps to it.
package scheduler
