// Package router chooses the upstream for a request and estimates the wait in a pool.
//
// Candidates are the upstreams under lease that are of the right kind, serve the model or
// route and are not excluded. Among them the router chooses the preferred upstream of the
// prompt's prefix, unless its load is above a bound; then the one with the least expected
// wait among a few sampled at random. Load reports are discounted by age; this host's own
// outstanding requests are counted at once. The package does no input or output.
package router
