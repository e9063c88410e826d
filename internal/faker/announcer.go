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
	// Entry hosts that each announcement goes to; they tell the others.
	announceHosts = 2
)

// Upstream is what an Announcer speaks for: *Engine or *Booking.
type Upstream interface {
	http.Handler
	Announcement() *schema.Announcement
}

// Announcer tells entry hosts of an upstream. Set the exported fields, then call Run.
type Announcer struct {
	Upstream Upstream
	// Hosts are entry hosts of the upstream's region.
	Hosts []string
	Token string
	// Incarnation rises with each start of the upstream.
	Incarnation uint64
}

// Run announces until ctx ends, then announces that the upstream leaves.
func (a *Announcer) Run(ctx context.Context) error {
	t := time.NewTicker(announceInterval)
	defer t.Stop()
	for turn := 0; ; turn++ {
		a.announce(a.Upstream.Announcement(), turn)
		select {
		case <-t.C:
		case <-ctx.Done():
			leaving := a.Upstream.Announcement()
			leaving.Leaving = true
			a.announce(leaving, turn)
			return nil
		}
	}
}

func (a *Announcer) announce(m *schema.Announcement, turn int) {
	m.Incarnation = a.Incarnation
	b, err := protojson.Marshal(m)
	if err != nil {
		return
	}
	for i := range min(announceHosts, len(a.Hosts)) {
		_ = a.post(a.Hosts[(turn+i)%len(a.Hosts)], b)
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
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusNoContent {
		return fmt.Errorf("faker: announce: status %d", answer.StatusCode)
	}
	return nil
}
