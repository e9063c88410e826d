package controller

import (
	"context"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/cataloger"
	"github.com/trefoilloft/trefoilloft/internal/confiner"
	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

const (
	// Time that the other control hosts have to reply to a question for an upstream's last report: a round trip
	// between regions, with a margin. The upstream turns to another host after a second.
	lastReportTimeout = 400 * time.Millisecond
	// Most questions for last reports at once. A report beyond them is stored without the replies.
	maxLastReportQuestions = 64
)

// LastReport returns what this host knows of the last report of an upstream's process.
func (s *ClusterService) LastReport(_ context.Context, r *schema.LastReportRequest) (*schema.LastReportReply, error) {
	t := s.Cluster.Table
	last, known := t.LastReport(r.Upstream, r.Incarnation)
	if !known {
		return &schema.LastReportReply{}, nil
	}
	return &schema.LastReportReply{Known: true, Number: last.Number, Leaving: last.Leaving, Age: (t.Timer.Now() - last.At).Seconds()}, nil
}

// lastReports asks all other control hosts for the last report that they have of the process that sent a report.
// It returns the replies that came in time. It returns early once one of them has the report before a.
func (k *Cluster) lastReports(ctx context.Context, a *schema.Announcement) []cataloger.LastReport {
	defer k.lastReportQuestions.Add(-1)
	if k.lastReportQuestions.Add(1) > maxLastReportQuestions {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, lastReportTimeout)
	defer cancel()
	question := &schema.LastReportRequest{Upstream: a.Name, Incarnation: a.Incarnation}
	askedAt := k.c.Timer.Now()
	addresses := k.otherAddresses(k.c.view.Load())
	replies := make(chan *schema.LastReportReply, len(addresses))
	for _, address := range addresses {
		go func() {
			var reply *schema.LastReportReply
			confiner.Call(k.c.Log, "last report", func() { reply = k.askLastReport(ctx, address, question) })
			replies <- reply
		}()
	}
	var all []cataloger.LastReport
	for range addresses {
		// The time that the reply took is not known to be on the way back, so it does not count.
		reply := <-replies
		if !reply.GetKnown() || !(reply.Age >= 0) {
			continue
		}
		all = append(all, cataloger.LastReport{Number: reply.Number, Leaving: reply.Leaving, At: askedAt - timer.Seconds(reply.Age)})
		if !reply.Leaving && reply.Number+1 == a.Number {
			break
		}
	}
	k.c.Log.Info().Str("upstream", a.Name).Uint64("incarnation", a.Incarnation).Uint64("number", a.Number).Int("asked", len(addresses)).
		Int("replies", len(all)).Dur("took", k.c.Timer.Now()-askedAt).Msg("last reports of the upstream looked up")
	return all
}

// askLastReport returns another control host's reply, nil if none comes.
func (k *Cluster) askLastReport(ctx context.Context, address string, r *schema.LastReportRequest) *schema.LastReportReply {
	client, err := k.clusterClient(address)
	if err != nil {
		k.c.Log.Warn().Err(err).Str("address", address).Msg("cannot set up a connection to the control host")
		return nil
	}
	reply, err := client.LastReport(ctx, r)
	if err != nil {
		k.c.Log.Debug().Err(err).Str("address", address).Msg("no reply for a last report")
		return nil
	}
	return reply
}
