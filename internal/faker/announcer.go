package faker

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

const (
	announceInterval = time.Second
	announceTimeout  = time.Second
	// Number of entry hosts that each announcement is sent to; they forward it to the others.
	hostsPerAnnouncement = 2
)

// Upstream is what an Announcer announces: *Engine or *Booking.
type Upstream interface {
	http.Handler
	Announcement() *schema.Announcement
}

// Announcer sends announcements of an upstream to entry hosts. Set the exported fields, then call Run.
type Announcer struct {
	Upstream Upstream
	// Hosts are the addresses at which entry hosts of the upstream's region serve callers.
	Hosts []string
	// Token is the bearer token for announcements.
	Token string
	// Incarnation rises with each start of the upstream.
	Incarnation uint64
}

// Run sends an announcement every announceInterval until ctx ends, then one that says that the
// upstream is leaving. It returns nil; announcements that fail are not reported.
func (a *Announcer) Run(ctx context.Context) error {
	t := time.NewTicker(announceInterval)
	defer t.Stop()
	for round := 0; ; round++ {
		a.announce(a.Upstream.Announcement(), round)
		select {
		case <-t.C:
		case <-ctx.Done():
			leaving := a.Upstream.Announcement()
			leaving.Leaving = true
			a.announce(leaving, round)
			return nil
		}
	}
}

func (a *Announcer) announce(announcement *schema.Announcement, round int) {
	announcement.Incarnation = a.Incarnation
	body, err := protojson.Marshal(announcement)
	if err != nil {
		return
	}
	for i := range min(hostsPerAnnouncement, len(a.Hosts)) {
		_ = a.post(a.Hosts[(round+i)%len(a.Hosts)], body)
	}
}

func (a *Announcer) post(host string, body []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+host+"/v1/announce", bytes.NewReader(body))
	if err != nil {
		return err
	}
	r.Header.Set("Authorization", "Bearer "+a.Token)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		return fmt.Errorf("faker: announcement rejected with status %d", resp.StatusCode)
	}
	return nil
}
