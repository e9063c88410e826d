package resumer

import (
	"slices"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

// History is what a control host has observed of the versions of upstreams' software.
type History interface {
	// Versions returns the versions that upstreams of a pool had within a time, sorted, and for how long
	// this process has observed them.
	Versions(pool string, within time.Duration) (versions []string, observed time.Duration)
	// Doubtful returns the upstreams of a pool and version under whose names other processes may serve.
	Doubtful(pool, version string) []*schema.Breakage
}

const (
	// minVersionTime exceeds the time for which an upstream serves after its last report.
	minVersionTime = 30 * time.Second
	// maxTries is the number of route timeouts that a caller may have spent on a stream, with its first
	// request and those that took it up.
	maxTries = 3
)

// VersionTime returns the time before a request that takes up a stream in which upstreams that may have
// begun the stream sent reports. A stream without a record is attributed to the only version of its pool
// if there was a single one for that time.
func VersionTime(routeTimeout time.Duration) time.Duration {
	return minVersionTime + maxTries*routeTimeout
}

// Find returns what one control host knows of the stream that a request asks for.
func Find(r *schema.FindStreamRequest, x *Index, h History) *schema.FindStreamReply {
	reply := &schema.FindStreamReply{}
	o, found, conflict := x.Find(r.Stream)
	reply.Found, reply.Conflict, reply.Pool, reply.Software = found, conflict, o.Pool, o.Software
	if found {
		reply.Doubtful = h.Doubtful(o.Pool, o.Software)
		return reply
	}
	versions, observed := h.Versions(r.Pool, timer.Seconds(r.Within))
	reply.Versions, reply.Observed = versions, observed.Seconds()
	return reply
}

// Combine merges the replies of all control hosts, nil for one that did not reply. Unless one has a record
// of the stream, its version is known only if all of them observed a single one for long enough.
func Combine(r *schema.FindStreamRequest, replies []*schema.FindStreamReply) *schema.FindStreamReply {
	single := len(replies) > 0
	var versions []string
	for _, x := range replies {
		switch {
		case x == nil:
			single = false
		case x.Conflict:
			return x
		case x.Found:
			return x
		default:
			single = single && x.Observed >= r.Within
			versions = append(versions, x.Versions...)
		}
	}
	slices.Sort(versions)
	versions = slices.Compact(versions)
	reply := &schema.FindStreamReply{Versions: versions}
	if single && len(versions) == 1 {
		reply.Inferred, reply.Pool, reply.Software = true, r.Pool, versions[0]
	}
	return reply
}
