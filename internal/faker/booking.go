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

// Booking is a stand-in for a booking service: each POST that reaches it makes a booking, and a
// GET returns the number of executions by reference. Set the exported fields before use.
type Booking struct {
	Name    string
	Region  string
	Domain  string
	Address string
	Routes  []string
	// Delay is the time that a booking takes.
	Delay time.Duration
	// DropsAnswer reports whether to close the connection without an answer once the booking
	// with the given reference has been made. Nil: never.
	DropsAnswer func(reference string) bool

	mu                 sync.Mutex
	executions         map[string]int // by reference; guarded by mu
	announcementNumber atomic.Uint64
}

// ServeHTTP makes a booking, or returns the number of executions by reference. It rejects a
// booking that carries a caller's key, which a gateway must not pass on.
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
	var booking struct {
		Reference string `json:"reference"`
	}
	if err := json.Unmarshal(body, &booking); err != nil || booking.Reference == "" {
		http.Error(w, "reference is missing", http.StatusUnprocessableEntity)
		return
	}
	execution := b.countExecution(booking.Reference)
	time.Sleep(b.Delay)
	if b.DropsAnswer != nil && b.DropsAnswer(booking.Reference) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusCreated)
	fmt.Fprintf(w, `{"reference":%q,"execution":%d,"by":%q}`, booking.Reference, execution, b.Name)
}

func (b *Booking) countExecution(reference string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.executions == nil {
		b.executions = map[string]int{}
	}
	b.executions[reference]++
	return b.executions[reference]
}

// Executions returns the number of executions by reference.
func (b *Booking) Executions() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]int, len(b.executions))
	for reference, count := range b.executions {
		out[reference] = count
	}
	return out
}

// Announcement returns an announcement of the service, with the next number. The incarnation is
// not set.
func (b *Booking) Announcement() *schema.Announcement {
	return &schema.Announcement{
		Name: b.Name, Kind: schema.UpstreamKind_UPSTREAM_SERVICE, Region: b.Region, Domain: b.Domain,
		Address: b.Address, Routes: b.Routes, Slots: 64, Number: b.announcementNumber.Add(1), Lease: 3,
	}
}
