// Package server is the entry role: it serves callers, and joins the parts that decide.
//
// Order of a caller's request: key, home, body, limits, place, upstream. What is refused
// before the upstream was reached says run false; the rest says unknown unless it ran.
// The protocol layer is here; each decision is in a package of its own.
package server
