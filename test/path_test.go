package test

import (
	"net/http"
	"strings"
	"testing"
)

// TestWholePath follows a request from the sheet to the answer through every entry host.
func TestWholePath(t *testing.T) {
	s := newSystem(t)
	s.applySheet()
	key := s.issue("st-giles")
	bound := s.issue("glasgow-choirs")
	for _, region := range []string{"lothian", "clyde", "grampian"} {
		for _, offset := range []int{0, 2} {
			s.served(s.address(region, offset), key)
		}
	}
	for _, stream := range []bool{false, true} {
		a := s.ask(s.address("clyde", 2), key, "Which pews are free?", stream)
		text, whole := a.text()
		if !whole || text != want("Which pews are free?") {
			t.Errorf("stream %v: status %d, whole %v, text %q, want %q", stream, a.status, whole, text, want("Which pews are free?"))
		}
	}
	small := s.issue("aberdeen-halls") // its burst is 10,000 tokens
	if out := s.mustCtl("burn"); !strings.Contains(out, "st-giles") {
		t.Errorf("burn report without the customer:\n%s", out)
	}
	t.Run("refusals", func(t *testing.T) { s.checkRefusals(t, key, bound, small) })
}

func (s *system) checkRefusals(t *testing.T, key, bound, small string) {
	lothian := s.address("lothian", 0)
	chat := "/v1/chat/completions"
	ok := `{"model":"parish-1","messages":[{"role":"user","content":"x"}]}`
	for _, c := range []struct {
		name, method, path, key, body, code string
		status                              int
	}{
		{"no key", http.MethodPost, chat, "", ok, "missing_api_key", 401},
		{"unknown key", http.MethodPost, chat, "tk_a_b", ok, "invalid_api_key", 401},
		{"malformed key", http.MethodPost, chat, "hello", ok, "invalid_api_key", 401},
		{"bound elsewhere", http.MethodPost, chat, bound, ok, "wrong_region", 421},
		{"unknown model", http.MethodPost, chat, key, `{"model":"x","messages":[]}`, "model_not_found", 404},
		{"not JSON", http.MethodPost, chat, key, `{`, "bad_json", 400},
		{"field of another type", http.MethodPost, chat, key, `{"model":"parish-1","stream":3,"messages":[]}`, "bad_request", 400},
		{"no messages", http.MethodPost, chat, key, `{"model":"parish-1"}`, "bad_request", 400},
		{"too large for the burst", http.MethodPost, chat, small, `{"model":"parish-1","max_tokens":30000,"messages":[]}`, "over_burst", 429},
		{"too many tokens", http.MethodPost, chat, key, `{"model":"parish-1","max_tokens":9999999,"messages":[]}`, "bad_request", 400},
		{"unknown route", http.MethodGet, "/nowhere", key, "", "not_found", 404},
	} {
		a := s.do(c.method, lothian, c.path, c.key, c.body)
		code, run := a.refusal()
		if a.status != c.status || code != c.code || run != false {
			t.Errorf("%s: status %d, code %s, run %v; want %d, %s, false", c.name, a.status, code, run, c.status, c.code)
		}
	}
	a := s.ask(lothian, bound, "x", false)
	if !strings.Contains(a.body, s.address("clyde", 0)) || strings.Contains(a.body, lothian) {
		t.Errorf("the refusal of a bound request does not name its region's hosts alone: %s", a.body)
	}
}
