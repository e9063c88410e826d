// Package loader sends an open load: requests begin when they are due, whether or not
// earlier ones have been answered, so that a slow system cannot slow the load down. It
// measures what callers see.
package loader
