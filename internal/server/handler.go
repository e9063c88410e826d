package server

import (
	"cmp"
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/trefoilloft/trefoilloft/internal/authenticator"
	"github.com/trefoilloft/trefoilloft/internal/bufferer"
	"github.com/trefoilloft/trefoilloft/internal/cataloger"
	"github.com/trefoilloft/trefoilloft/internal/configurer"
	"github.com/trefoilloft/trefoilloft/internal/confiner"
	"github.com/trefoilloft/trefoilloft/internal/expirer"
	"github.com/trefoilloft/trefoilloft/internal/schema"
)

const (
	maxBodyBytes         = 8 << 20
	bodyTimeout          = 20 * time.Second
	maxAnnouncementBytes = 64 << 10
	// Largest number of other hosts to which one announcement is sent.
	maxAnnouncementCopies = 8
)

// handler returns the handler of callers' requests, upstreams' announcements, health and
// readiness. It counts the requests in flight.
func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", s.serveCompletion)
	mux.HandleFunc("POST /v1/completions", s.serveCompletion)
	mux.HandleFunc("GET /v1/models", s.serveModels)
	mux.HandleFunc("GET /v1/hosts", s.serveHosts)
	mux.HandleFunc("POST /v1/announce", s.serveAnnounce)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	mux.HandleFunc("GET /readyz", s.serveReady)
	mux.HandleFunc("/", s.serveServiceCall)
	counted := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.inflight.Add(1)
		defer s.inflight.Add(-1)
		if s.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		if !confiner.Call(s.Log, "request", func() { mux.ServeHTTP(w, r) }) {
			panic(http.ErrAbortHandler) // the caller must not take its answer for whole
		}
	})
	return expirer.Handler(counted, bodyTimeout)
}

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if s.draining.Load() || s.snapshot().Version == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// principal is the customer that a request was authenticated as.
type principal struct {
	customer *schema.Customer // nil on a route that is open to all
	keyHash  string           // of the API key
}

func (p principal) customerName() string { return p.customer.GetName() }

// authenticate returns the customer whose API key a request carries.
func (s *Server) authenticate(r *http.Request) (principal, error) {
	key, err := authenticator.PresentedKey(r.Header)
	if err != nil {
		return principal{}, err
	}
	name, hash, err := authenticator.Check(s, key)
	if err != nil {
		return principal{}, err
	}
	c := s.snapshot().Customer(name)
	if c == nil {
		return principal{}, authenticator.ErrInvalidKey
	}
	return principal{customer: c, keyHash: hash}, nil
}

// checkHome returns a refusal if home, the region that a customer or route is bound to, is
// another region; an empty home binds to none. HTTP handlers call it before they read the body.
func (s *Server) checkHome(home string) error {
	if home == "" || home == s.Settings.Region {
		return nil
	}
	r := newRefusal(http.StatusMisdirectedRequest, "wrong_region", "the request is bound to region "+home)
	r.Hosts = s.hostsInRegion(home)
	return r
}

// serveAnnounce stores an upstream's announcement and, if it is new, sends it to other hosts of
// the region.
func (s *Server) serveAnnounce(w http.ResponseWriter, r *http.Request) {
	_, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if s.Settings.Announce == "" || subtle.ConstantTimeCompare([]byte(token), []byte(s.Settings.Announce)) != 1 {
		s.writeRefusal(w, newRefusal(http.StatusUnauthorized, "invalid_token", "the announce token is not valid"))
		return
	}
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
	if err != nil {
		s.writeRefusal(w, newRefusal(http.StatusBadRequest, "bad_body", err.Error()))
		return
	}
	a := &schema.Announcement{}
	if err := protojson.Unmarshal(b, a); err != nil {
		s.writeRefusal(w, newRefusal(http.StatusBadRequest, "bad_announcement", err.Error()))
		return
	}
	if err := checkAnnouncement(a, s.Settings.Region); err != nil {
		s.writeRefusal(w, err)
		return
	}
	if s.registrar.Register(a) {
		s.propagateAnnouncement(a)
	}
	w.WriteHeader(http.StatusNoContent)
}

func checkAnnouncement(a *schema.Announcement, region string) error {
	problem := ""
	switch {
	case a.Name == "":
		problem = "name is empty"
	case a.Kind == schema.UpstreamKind_UPSTREAM_UNSPECIFIED:
		problem = "kind is missing"
	case a.Address == "":
		problem = "address is empty"
	case cataloger.CheckReport(a) != nil:
		problem = cataloger.CheckReport(a).Error()
	case a.Region != region:
		problem = "region is not " + region
	case a.Slots <= 0:
		problem = "slots is not above 0"
	}
	if problem == "" {
		return nil
	}
	return newRefusal(http.StatusBadRequest, "bad_announcement", problem)
}

// propagateAnnouncement sends an announcement to other hosts of the region: to all of them or, if
// there are more than maxAnnouncementCopies, to those chosen by a hash of the host's and the
// upstream's name, so that each host knows a fraction of the upstreams. A lost message is not
// sent again: the upstream's next announcement replaces it.
func (s *Server) propagateAnnouncement(a *schema.Announcement) {
	var others []*schema.Host
	for _, h := range s.snapshot().Hosts() {
		if h.Region == s.Settings.Region && h.Name != s.Settings.Name {
			others = append(others, h)
		}
	}
	if len(others) > maxAnnouncementCopies {
		slices.SortFunc(others, func(x, y *schema.Host) int {
			return cmp.Compare(xxhash.Sum64String(x.Name+a.Name), xxhash.Sum64String(y.Name+a.Name))
		})
		others = others[:maxAnnouncementCopies]
	}
	for _, h := range others {
		s.background("announcement", func() {
			ctx, cancel := context.WithTimeout(context.Background(), rpcTimeout)
			defer cancel()
			if c, err := s.Dialer.EntryClient(h.Internal); err == nil {
				_, _ = c.Announce(ctx, a)
			}
		})
	}
}

// serveHosts lists the addresses of the hosts that a caller should use, best first, and for how
// many seconds the list is valid.
func (s *Server) serveHosts(w http.ResponseWriter, r *http.Request) {
	region, bound := s.Settings.Region, r.URL.Query().Get("bound") != ""
	if p, err := s.authenticate(r); err == nil && p.customer.Home != "" {
		region, bound = p.customer.Home, true
	}
	writeJSON(w, struct {
		Object   string   `json:"object"`
		Region   string   `json:"region"`
		Hosts    []string `json:"hosts"`
		Lifetime float64  `json:"lifetime"`
	}{"list", region, s.listHosts(region, bound), hostListTTL.Seconds()})
}

// listHosts returns the addresses of a region's hosts, followed by those of other regions unless
// the caller is bound to the region.
func (s *Server) listHosts(region string, bound bool) []string {
	list := s.hostsInRegion(region)
	if bound {
		return list
	}
	for _, h := range s.snapshot().Hosts() {
		if h.Region != region && s.isListed(h) {
			list = append(list, h.Listen)
		}
	}
	return list
}

func (s *Server) hostsInRegion(region string) []string {
	list := []string{}
	for _, h := range s.snapshot().Hosts() {
		if h.Region == region && s.isListed(h) {
			list = append(list, h.Listen)
		}
	}
	// Each host starts its list at a different host, to spread the callers.
	if n := len(list); n > 1 {
		start := int(s.identity % uint64(n))
		list = slices.Concat(list[start:], list[:start])
	}
	return list
}

func (s *Server) isListed(h *schema.Host) bool {
	if h.Name == s.Settings.Name {
		return !s.draining.Load()
	}
	return h.State != schema.HostState_HOST_DRAINING
}

// serveModels lists the models of the configuration.
func (s *Server) serveModels(w http.ResponseWriter, r *http.Request) {
	if _, err := s.authenticate(r); err != nil {
		s.writeRefusal(w, err)
		return
	}
	type model struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		OwnedBy string `json:"owned_by"`
	}
	list := []model{}
	for _, name := range modelNames(s.snapshot()) {
		list = append(list, model{name, "model", "trefoilloft"})
	}
	writeJSON(w, struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{"list", list})
}

func modelNames(c *configurer.Snapshot) []string {
	var names []string
	for _, p := range c.Paths("model") {
		if m := c.Item(p).GetModel(); !slices.Contains(names, m.Name) {
			names = append(names, m.Name)
		}
	}
	return names
}

// readBody reads the body of a caller's request: up to maxBodyBytes.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	hold := bufferer.Hold{Budget: &s.buffers}
	defer hold.Release()
	b, err := hold.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes), maxBodyBytes+1)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, newRefusal(http.StatusRequestEntityTooLarge, "body_too_large", err.Error())
	case errors.Is(err, bufferer.ErrExhausted):
		return nil, newRefusal(http.StatusServiceUnavailable, "overloaded", "too many long bodies are being read")
	case err != nil:
		return nil, newRefusal(http.StatusBadRequest, "bad_body", "the body could not be read")
	}
	return b, nil
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
