// Package requester sends one request to one upstream over HTTP and reads the response. It
// distinguishes failures in which the request certainly did not reach the upstream, cancels
// requests on unresponsive connections, and detects truncated streams; its users check that a
// response belongs to the request. It neither chooses upstreams nor retries.
package requester
