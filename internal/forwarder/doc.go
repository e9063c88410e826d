// Package forwarder is an entry host's request path, independent of any protocol: a request is
// a plain value that passes through one pipeline, with each step in the file of its name.
//
//	index         find the route and the customer
//	authenticate  check that the key is valid and the configuration fresh enough to tell
//	home          find the regions that may serve it
//	deadline      estimate when the caller made its first attempt
//	charge        charge the customer's limits
//	route         serve here, or relay to another region
//	offload       choose the region of a stream by shared prefix and load
//	assign        measure demand, and assign it to regions where capacity is scarce
//	monitor       detect regions that do not respond
//	quarantine    refuse it if a part of its prompt crashes upstreams
//	attempt       send it to an upstream, and perhaps retry at another
//	limit         keep the limit that the upstream names in its response
//	budget        limit retries
//	stream        forward events as they arrive, and resume at another upstream
//	relay         serve through an entry host of another region
//	explain       tell an operator where a request would go, and why
//	refusal       tell a caller why there is no response
//
// The interface to callers passes Requests with a Sink; the protocol of upstreams is a Protocol.
package forwarder
