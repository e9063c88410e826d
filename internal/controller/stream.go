package controller

import (
	"context"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/confiner"
	"github.com/trefoilloft/trefoilloft/internal/resumer"
	"github.com/trefoilloft/trefoilloft/internal/schema"
)

const (
	// Time that the other control hosts have to reply to a question for a stream: a round trip between
	// regions, with a margin.
	searchTimeout = 450 * time.Millisecond
	// Most questions to all control hosts at once. One beyond them is answered as if nobody replied.
	maxSearches = 64
	// Age of the last contact with the leader above which a host is out of step.
	maxStepAge = 2 * time.Second
)

// RecordStreams stores which software versions began streams at an entry host.
func (s *ClusterService) RecordStreams(_ context.Context, r *schema.StreamsRequest) (*schema.StreamsReply, error) {
	s.Cluster.storeBreakages(r.Breakages, "")
	s.Cluster.Streams.Store(r.Streams)
	return &schema.StreamsReply{Process: s.Cluster.Streams.Process}, nil
}

// FindStream finds which software version began a stream, and where upstreams of that version are.
func (s *ClusterService) FindStream(ctx context.Context, r *schema.FindStreamRequest) (*schema.FindStreamReply, error) {
	k := s.Cluster
	if known := r.Known; known != nil {
		reply := &schema.FindStreamReply{Found: true, Pool: known.Pool, Software: known.Software}
		reply.Regions, reply.Leaving = k.Table.RegionsWith(known.Pool, known.Software)
		reply.Doubtful = k.Table.Doubtful(known.Pool, known.Software)
		return reply, nil
	}
	reply := resumer.Find(r, k.Streams, k.Table)
	if r.Direct {
		return reply, nil
	}
	asked := 0
	if !reply.Found && !reply.Conflict {
		replies := k.searchStream(ctx, r)
		asked = len(replies)
		// The record may have come meanwhile.
		reply = resumer.Combine(r, append(replies, resumer.Find(r, k.Streams, k.Table)))
	}
	inStep := k.inStep()
	reply.Inferred = reply.Inferred && inStep
	if reply.Found || reply.Inferred {
		reply.Regions, reply.Leaving = k.Table.RegionsWith(reply.Pool, reply.Software)
		reply.Doubtful = append(reply.Doubtful, k.Table.Doubtful(reply.Pool, reply.Software)...)
	}
	k.c.Log.Info().Uint64("stream", r.Stream).Str("pool", reply.Pool).Str("software", reply.Software).Bool("found", reply.Found).
		Bool("inferred", reply.Inferred).Bool("conflict", reply.Conflict).Bool("step", inStep).Strs("versions", reply.Versions).Strs("regions", reply.Regions).
		Bool("usable", reply.Leaving).Int("leaving", k.Table.LeavingCount(reply.Pool, reply.Software)).Int("doubtful", len(reply.Doubtful)).
		Int("asked", asked).Msg("version of a stream looked up")
	return reply, nil
}

// inStep reports whether this host has lately been in contact with the leader of a group that it belongs
// to. One that is not may ask too few hosts, and can infer no version.
func (k *Cluster) inStep() bool {
	now, v := k.c.Timer.Now(), k.c.view.Load()
	if v.holdsLease(now) {
		return true
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lastReply != nil && now-k.lastReplyRequestedAt <= maxStepAge && v.member(k.Self.Id) != nil
}

// searchStream asks all other control hosts for a stream. A reply is nil if none came. It returns early
// once one has a record.
func (k *Cluster) searchStream(ctx context.Context, r *schema.FindStreamRequest) []*schema.FindStreamReply {
	if k.searches.Add(1) > maxSearches {
		k.searches.Add(-1)
		return []*schema.FindStreamReply{nil}
	}
	defer k.searches.Add(-1)
	ctx, cancel := context.WithTimeout(ctx, searchTimeout)
	defer cancel()
	question := &schema.FindStreamRequest{Stream: r.Stream, Pool: r.Pool, Within: r.Within, Direct: true}
	addresses := k.otherAddresses(k.c.view.Load())
	results := make(chan *schema.FindStreamReply, len(addresses))
	for _, address := range addresses {
		go func() {
			var reply *schema.FindStreamReply
			confiner.Call(k.c.Log, "stream", func() { reply = k.askForStream(ctx, address, question) })
			results <- reply
		}()
	}
	var replies []*schema.FindStreamReply
	for range addresses {
		reply := <-results
		replies = append(replies, reply)
		if reply.GetFound() || reply.GetConflict() {
			break
		}
	}
	return replies
}

// askForStream returns another control host's reply, nil if none comes.
func (k *Cluster) askForStream(ctx context.Context, address string, r *schema.FindStreamRequest) *schema.FindStreamReply {
	client, err := k.clusterClient(address)
	if err != nil {
		k.c.Log.Warn().Err(err).Str("address", address).Msg("cannot set up a connection to the control host")
		return nil
	}
	reply, err := client.FindStream(ctx, r)
	if err != nil {
		k.c.Log.Debug().Err(err).Str("address", address).Msg("no reply for a stream")
		return nil
	}
	return reply
}
