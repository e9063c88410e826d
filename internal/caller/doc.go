// Package caller sends one request to one upstream over HTTP and reads the answer. It
// tells apart what certainly did not reach the upstream, notices connections that went
// silent, and checks that an answer belongs to the request and is whole. It neither
// chooses upstreams nor retries.
package caller
