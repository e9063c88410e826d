// Package router chooses the upstream for a request, or another region.
//
// Filters come first: kind, model or route, lease, exclusions. Then prefix affinity, as
// long as the preferred upstream is not loaded above a bound; then the least expected
// time to the first token among a few sampled upstreams. Load reports are discounted by
// age, and the host's own outstanding work is counted at once. It does no input or output.
package router
