// Package prober finds out whether a host has lost its connections to all upstreams of its region, while callers and
// other hosts may still reach it. What the host's connections show raises a suspicion; connections that the package
// opens itself confirm it, and show when an upstream can be reached again. It decides nothing about requests.
package prober
