package command

import (
	"syscall"

	"github.com/rs/zerolog"

	"github.com/trefoilloft/trefoilloft/internal/accepter"
	"github.com/trefoilloft/trefoilloft/internal/bufferer"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

const (
	// maxConnections is the number of connections of one process where its descriptors allow as many. The target
	// size has 44 requests/s for each host, so that no callers within their limits hold half as many.
	maxConnections = 16_384
	// headBytes bounds the memory of unfinished request headers beyond accepter.FreeBytes each. It holds 46 of the
	// largest that callers may send, in the smallest fields; ordinary ones take nothing of it.
	headBytes = 64 << 20
	// Connections take at most one part in descriptorParts of the descriptors: the others are for upstreams, other
	// hosts and files.
	descriptorParts = 2
)

// newGate returns what bounds the connections of all listeners of a process and the request headers that they send.
func newGate(clock *timer.Service, log zerolog.Logger) *accepter.Gate {
	return &accepter.Gate{MaxConns: connectionLimit(descriptorLimit()), Budget: &bufferer.Budget{Max: headBytes}, Timer: clock, Log: log}
}

// connectionLimit returns the number of connections of a process that may use a number of descriptors; 0: unknown.
func connectionLimit(descriptors uint64) int {
	if descriptors == 0 || descriptors >= descriptorParts*maxConnections {
		return maxConnections
	}
	return int(max(1, descriptors/descriptorParts))
}

// descriptorLimit returns the number of descriptors that the process may use; 0: unknown.
func descriptorLimit() uint64 {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0
	}
	return limit.Cur
}
