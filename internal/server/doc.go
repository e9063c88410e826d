// Package server implements the entry host: it serves callers over HTTP and other processes over
// gRPC, and connects the components that make the decisions.
//
// A caller's request passes these steps in order: API key, home region, body, limits, slot,
// upstream. An error has "run": false if the request is known not to have reached an upstream, else
// "run": "unknown". The protocols are implemented here; each decision is in a package of its own.
package server
