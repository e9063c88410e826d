package controller

import (
	"time"

	"github.com/trefoilloft/trefoilloft/internal/quarantiner"
	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// decideInterval is the interval at which the leader decides which requests and parts of prompts are quarantined.
const decideInterval = 200 * time.Millisecond

// storeFindings stores the findings of a host that reports to this one, and returns the reply. A host
// of an earlier version sends none and gets none.
func (k *Cluster) storeFindings(f *schema.Findings, from string) *schema.Findings {
	if f == nil {
		return nil
	}
	reply, ends, changed := quarantiner.Reply(f, k.Evidence, k.Quarantine)
	for _, x := range ends {
		k.c.Log.Info().Str("upstream", x.Upstream).Uint64("incarnation", x.Incarnation).Float64("age", x.Age).
			Int("parts", len(x.Parts)).Str("from", from).Msg("upstream ended under requests")
	}
	for _, part := range changed {
		k.logQuarantine(part, from)
	}
	if len(ends) > 0 || len(changed) > 0 {
		k.requestConsult()
	}
	return reply
}

func (k *Cluster) logQuarantine(part uint64, from string) {
	left, quarantined := k.Quarantine.Find(part)
	k.c.Log.Info().Hex("part", quarantiner.AppendKey(nil, part)).Strs("beside", quarantiner.KeyNames(k.Quarantine.Beside(part))).
		Bool("quarantined", quarantined).Dur("left", left).Str("from", from).Msg("quarantine learned")
}

// decideQuarantine quarantines and releases requests and parts of prompts. Only the leader does.
func (k *Cluster) decideQuarantine() {
	if !k.c.view.Load().holdsLease(k.c.Timer.Now()) {
		return
	}
	for _, d := range k.Evidence.Decide(k.Quarantine) {
		if d.Trial {
			k.c.Log.Info().Hex("part", quarantiner.AppendKey(nil, d.Part)).Strs("beside", quarantiner.KeyNames(d.Beside)).Msg("trial of a quarantined part granted")
			continue
		}
		k.c.Log.Warn().Hex("part", quarantiner.AppendKey(nil, d.Part)).Strs("beside", quarantiner.KeyNames(d.Beside)).
			Bool("quarantined", !d.Released).Int("ends", d.Ends).Dur("survived", d.Survived).Dur("left", quarantiner.QuarantineTime).Msg("quarantine decided")
	}
}
