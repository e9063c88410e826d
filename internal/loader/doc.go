// Package loader sends an open-loop load: each request is sent when it is due, whether or
// not earlier ones have been answered, so that a slow system cannot slow the load down. It
// measures what callers see.
package loader
