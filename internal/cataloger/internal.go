package cataloger

import (
	"net"

	"google.golang.org/protobuf/proto"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// claimInternal makes an entry host the owner of its internal address and marks the earlier owner as neither
// ready nor stopping, as its process has ended. It returns false if the owner started later and is ready: one that
// is not may have ended itself, and clocks of hosts differ. The caller holds mu.
func (t *Table) claimInternal(p *schema.Peer) bool {
	if identifiesHost(p.Internal) && !t.takeInternal(p) {
		return false
	}
	if old := t.hosts[p.Name]; old != nil && old.report.Internal != p.Internal {
		t.releaseInternal(p.Name, old.report.Internal)
	}
	return true
}

func (t *Table) takeInternal(p *schema.Peer) bool {
	owner := t.hosts[t.hostAddresses[p.Internal]]
	if owner != nil && owner.report.Name != p.Name {
		if owner.report.Ready && owner.report.Incarnation > p.Incarnation {
			return false
		}
		if owner.report.Ready || owner.report.Stopping {
			ended := proto.Clone(owner.report).(*schema.Peer)
			ended.Ready, ended.Stopping = false, false
			t.revision++
			owner.report, owner.revision = ended, t.revision
		}
	}
	t.hostAddresses[p.Internal] = p.Name
	return true
}

func (t *Table) releaseInternal(name, address string) {
	if t.hostAddresses[address] == name {
		delete(t.hostAddresses, address)
	}
}

// identifiesHost reports whether one host only can have an address: hosts that listen on all of theirs may
// report the same one.
func identifiesHost(address string) bool {
	host, _, err := net.SplitHostPort(address)
	return err == nil && host != "" && !net.ParseIP(host).IsUnspecified()
}
