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
	"github.com/trefoilloft/trefoilloft/internal/configurer"
	"github.com/trefoilloft/trefoilloft/internal/schema"
)

const (
	bodyLimitBytes     = 8 << 20
	bodyTimeout        = 20 * time.Second
	announceLimitBytes = 64 << 10
	// Hosts that one announcement is spread to.
	spreadHosts = 8
)

// handler serves callers, upstreams' announcements, health and readiness.
func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", s.serveCompletion)
	mux.HandleFunc("POST /v1/completions", s.serveCompletion)
	mux.HandleFunc("GET /v1/models", s.serveModels)
	mux.HandleFunc("GET /v1/hosts", s.serveHosts)
	mux.HandleFunc("POST /v1/announce", s.serveAnnounce)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	mux.HandleFunc("GET /readyz", s.serveReady)
	mux.HandleFunc("/", s.servePlain)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.inflight.Add(1)
		defer s.inflight.Add(-1)
		mux.ServeHTTP(w, r)
	})
}

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if s.draining.Load() || s.snapshot().Version == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// identity is who a request is for.
type identity struct {
	customer *schema.Customer // nil: a route open to all
	hash     string           // of the key
}

func (i identity) name() string { return i.customer.GetName() }

// authenticate finds the customer whose key a request carries.
func (s *Server) authenticate(r *http.Request) (identity, error) {
	key, err := authenticator.Present(r.Header)
	if err != nil {
		return identity{}, err
	}
	name, hash, err := authenticator.Check(s, key)
	if err != nil {
		return identity{}, err
	}
	c := s.snapshot().Customer(name)
	if c == nil {
		return identity{}, authenticator.ErrUnknown
	}
	return identity{customer: c, hash: hash}, nil
}

// checkHome refuses a request bound to another region, before its body is read.
func (s *Server) checkHome(home string) error {
	if home == "" || home == s.Settings.Region {
		return nil
	}
	r := refuse(http.StatusMisdirectedRequest, "wrong_region", "the request is bound to region "+home)
	r.Hosts = s.hostsOf(home)
	return r
}

// serveAnnounce takes an upstream's announcement and spreads it in the region.
func (s *Server) serveAnnounce(w http.ResponseWriter, r *http.Request) {
	_, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if s.Settings.Announce == "" || subtle.ConstantTimeCompare([]byte(token), []byte(s.Settings.Announce)) != 1 {
		s.writeRefusal(w, refuse(http.StatusUnauthorized, "invalid_token", "the announce token is not valid"))
		return
	}
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, announceLimitBytes))
	if err != nil {
		s.writeRefusal(w, refuse(http.StatusBadRequest, "bad_body", err.Error()))
		return
	}
	a := &schema.Announcement{}
	if err := protojson.Unmarshal(b, a); err != nil {
		s.writeRefusal(w, refuse(http.StatusBadRequest, "bad_announcement", err.Error()))
		return
	}
	if err := checkAnnouncement(a, s.Settings.Region); err != nil {
		s.writeRefusal(w, err)
		return
	}
	if s.registrar.Take(a) {
		s.spreadAnnouncement(a)
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
	case a.Region != region:
		problem = "region is not " + region
	case a.Slots <= 0:
		problem = "slots is not above 0"
	}
	if problem == "" {
		return nil
	}
	return refuse(http.StatusBadRequest, "bad_announcement", problem)
}

// spreadAnnouncement tells other hosts of the region: all of them if they are few, else
// those that the upstream's name prefers, so that each host knows a part of the upstreams.
// What is lost comes again with the upstream's next announcement.
func (s *Server) spreadAnnouncement(a *schema.Announcement) {
	var others []*schema.Host
	for _, h := range s.snapshot().Hosts() {
		if h.Region == s.Settings.Region && h.Name != s.Settings.Name {
			others = append(others, h)
		}
	}
	if len(others) > spreadHosts {
		slices.SortFunc(others, func(x, y *schema.Host) int {
			return cmp.Compare(xxhash.Sum64String(x.Name+a.Name), xxhash.Sum64String(y.Name+a.Name))
		})
		others = others[:spreadHosts]
	}
	for _, h := range others {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
			defer cancel()
			if c, err := s.Dialer.Entry(h.Internal); err == nil {
				_, _ = c.Announce(ctx, a)
			}
		}()
	}
}

// serveHosts lists the hosts that a caller should use, best first, and for how long.
func (s *Server) serveHosts(w http.ResponseWriter, r *http.Request) {
	region := s.Settings.Region
	if id, err := s.authenticate(r); err == nil && id.customer.Home != "" {
		region = id.customer.Home
	}
	writeJSON(w, struct {
		Object   string   `json:"object"`
		Region   string   `json:"region"`
		Hosts    []string `json:"hosts"`
		Lifetime float64  `json:"lifetime"`
	}{"list", region, s.listHosts(region, r.URL.Query().Get("bound") != ""), listLifetime.Seconds()})
}

// listHosts returns a region's hosts, then the others unless the caller is bound.
func (s *Server) listHosts(region string, bound bool) []string {
	list := s.hostsOf(region)
	if bound {
		return list
	}
	for _, h := range s.snapshot().Hosts() {
		if h.Region != region && s.listed(h) {
			list = append(list, h.Listen)
		}
	}
	return list
}

func (s *Server) hostsOf(region string) []string {
	list := []string{}
	for _, h := range s.snapshot().Hosts() {
		if h.Region == region && s.listed(h) {
			list = append(list, h.Listen)
		}
	}
	// Each host begins with another one, so that callers spread.
	if n := len(list); n > 1 {
		at := int(s.identity % uint64(n))
		list = slices.Concat(list[at:], list[:at])
	}
	return list
}

func (s *Server) listed(h *schema.Host) bool {
	if h.Name == s.Settings.Name {
		return !s.draining.Load()
	}
	return h.State != schema.HostState_HOST_DRAINING
}

// serveModels lists the models that the configuration says are served.
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

// readBody reads a caller's body within a size and a time.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout))
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, bodyLimitBytes))
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return nil, refuse(http.StatusRequestEntityTooLarge, "body_too_large", err.Error())
	case err != nil:
		return nil, refuse(http.StatusBadRequest, "bad_body", "the body could not be read")
	}
	return b, nil
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
