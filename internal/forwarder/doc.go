// Package forwarder is an entry host's request path, apart from any protocol: a request is
// a plain value that passes one pipeline, each step in the file of its name.
//
//	index         find the route and the customer
//	authenticate  is the key valid, and is that certain enough
//	home          the regions that may serve it
//	charge        the customer's limits
//	route         serve here, or pass to another region
//	try           send it to an upstream, and perhaps to another
//	stream        pass events on as they come, and go on elsewhere
//	relay         the way through an entry host of another region
//	refusal       why a request gets no answer
//
// A caller's interface gives it Requests and a Sink; an upstream's protocol is a Dialect.
package forwarder
