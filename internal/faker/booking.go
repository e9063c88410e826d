package faker

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// Booking is a stand-in for a booking service: every POST that reaches it takes a seat.
// GET /executions returns how often each reference ran. Set the exported fields before use.
type Booking struct {
	Name    string
	Region  string
	Domain  string
	Address string
	Routes  []string
	// Delay is the time that a booking takes.
	Delay time.Duration
	// Drop makes the service run a booking and then close the connection without an answer.
	Drop func(reference string) bool

	mu     sync.Mutex
	counts map[string]int // executions by reference; guarded by mu
	number atomic.Uint64
}

// ServeHTTP runs a booking, or tells how often each ran.
func (b *Booking) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(b.Executions())
		return
	}
	if r.Header.Get("Authorization") != "" {
		http.Error(w, "a caller's key reached the service", http.StatusTeapot)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var order struct {
		Reference string `json:"reference"`
	}
	if err := json.Unmarshal(body, &order); err != nil || order.Reference == "" {
		http.Error(w, "reference is missing", http.StatusUnprocessableEntity)
		return
	}
	n := b.run(order.Reference)
	time.Sleep(b.Delay)
	if b.Drop != nil && b.Drop(order.Reference) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusCreated)
	fmt.Fprintf(w, `{"reference":%q,"execution":%d,"by":%q}`, order.Reference, n, b.Name)
}

func (b *Booking) run(reference string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.counts == nil {
		b.counts = map[string]int{}
	}
	b.counts[reference]++
	return b.counts[reference]
}

// Executions returns how often each reference ran.
func (b *Booking) Executions() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]int, len(b.counts))
	for k, v := range b.counts {
		out[k] = v
	}
	return out
}

// Announcement returns what the service announces now.
func (b *Booking) Announcement() *schema.Announcement {
	return &schema.Announcement{
		Name: b.Name, Kind: schema.UpstreamKind_UPSTREAM_SERVICE, Region: b.Region, Domain: b.Domain,
		Address: b.Address, Routes: b.Routes, Slots: 64, Number: b.number.Add(1), Lease: 3,
	}
}
