package quarantiner

import "github.com/trefoilloft/trefoilloft/internal/schema"

// Source holds findings that are reported to another host.
type Source interface {
	// Since returns the findings that changed after a revision, and the present revision.
	Since(revision uint64) (*schema.Findings, uint64)
	// SetSuspects replaces the parts whose survivals are reported.
	SetSuspects(parts []uint64)
	// doubt returns the parts that explain the ends under a part as well, if the part is known to have been
	// survived, and whether there is reason for doubt or, with no parts, reason to end it. before are the
	// parts that it returned before.
	doubt(part uint64, before []uint64) (only []uint64, changed bool)
}

// Link reports findings to one host at a time, each once for each process of it, and merges its
// register. Set the exported fields before use. It is not safe for concurrent use.
type Link struct {
	Source   Source
	Register *Register

	process  uint64 // of the host that has the findings up to revision
	revision uint64
	peerHash uint64 // of that host's register
	sent     struct {
		process, revision uint64
		complete          bool
	}
}

// Request returns the findings to send. process is the last known process of the receiver.
func (l *Link) Request(process uint64) *schema.Findings {
	revision := l.revision
	if process != l.process {
		revision = 0
	}
	f, present := l.Source.Since(revision)
	l.sent.process, l.sent.revision, l.sent.complete = process, present, revision == 0
	f.Hash = l.Register.Hash()
	f.Refused = l.Register.Refused()
	if f.Hash != l.peerHash {
		f.Quarantined = l.Register.List()
	}
	return f
}

// Apply applies the reply to the last request, from a process of the receiver. It returns the parts
// whose quarantine changed or that this host now treats otherwise.
func (l *Link) Apply(reply *schema.Findings, process uint64) []uint64 {
	if process != l.sent.process && !l.sent.complete {
		l.process, l.revision = process, 0
	} else {
		l.process, l.revision = process, l.sent.revision
	}
	l.peerHash = reply.GetHash()
	l.Source.SetSuspects(reply.GetSuspects())
	changed := l.Register.Merge(reply.GetQuarantined())
	for _, part := range reply.GetTrials() {
		l.Register.offerTrial(part)
	}
	for part, before := range l.Register.unweighed() {
		if only, doubted := l.Source.doubt(part, before); doubted {
			l.Register.doubt(part, only)
			changed = append(changed, part)
		}
	}
	return changed
}
