package test

import (
	"net/http"
	"strings"
	"testing"
)

// TestCompletionsThroughEveryHost guards against a path from the sheet to the answer that is broken
// at one of the entry hosts: once the sheet is applied, each must answer a completion. Completions
// must be whole, streamed or not, and each kind of invalid request must be refused with its status
// and code and with run false.
func TestCompletionsThroughEveryHost(t *testing.T) {
	s := newSystem(t)
	s.applySheet()
	key := s.issueKey("st-giles")
	boundKey := s.issueKey("glasgow-choirs")
	for _, region := range []string{"lothian", "clyde", "grampian"} {
		for _, offset := range []int{0, 2} {
			s.waitUntilServing(s.address(region, offset), key)
		}
	}
	for _, stream := range []bool{false, true} {
		a := s.chat(s.address("clyde", 2), key, "Which pews are free?", stream)
		text, complete := a.text()
		if !complete || text != expectedText("Which pews are free?") {
			t.Errorf("stream %v: status %d, complete %v, text %q, want %q", stream, a.status, complete, text, expectedText("Which pews are free?"))
		}
	}
	lowBurstKey := s.issueKey("aberdeen-halls") // its burst is 10,000 tokens
	if out := s.mustCtl("burn"); !strings.Contains(out, "st-giles") {
		t.Errorf("burn report does not list customer st-giles:\n%s", out)
	}
	t.Run("refusals", func(t *testing.T) { s.checkRefusals(t, key, boundKey, lowBurstKey) })
}

func (s *system) checkRefusals(t *testing.T, key, boundKey, lowBurstKey string) {
	lothian := s.address("lothian", 0)
	chatPath := "/v1/chat/completions"
	validBody := `{"model":"parish-1","messages":[{"role":"user","content":"x"}]}`
	for _, c := range []struct {
		name, method, path, key, body, code string
		status                              int
	}{
		{"no key", http.MethodPost, chatPath, "", validBody, "missing_api_key", 401},
		{"unknown key", http.MethodPost, chatPath, "tk_a_b", validBody, "invalid_api_key", 401},
		{"malformed key", http.MethodPost, chatPath, "hello", validBody, "invalid_api_key", 401},
		{"customer bound to another region", http.MethodPost, chatPath, boundKey, validBody, "wrong_region", 421},
		{"unknown model", http.MethodPost, chatPath, key, `{"model":"x","messages":[]}`, "model_not_found", 404},
		{"not JSON", http.MethodPost, chatPath, key, `{`, "bad_json", 400},
		{"field of another type", http.MethodPost, chatPath, key, `{"model":"parish-1","stream":3,"messages":[]}`, "bad_request", 400},
		{"no messages", http.MethodPost, chatPath, key, `{"model":"parish-1"}`, "bad_request", 400},
		{"too large for the burst", http.MethodPost, chatPath, lowBurstKey, `{"model":"parish-1","max_tokens":30000,"messages":[]}`, "over_burst", 429},
		{"too many tokens", http.MethodPost, chatPath, key, `{"model":"parish-1","max_tokens":9999999,"messages":[]}`, "bad_request", 400},
		{"unknown route", http.MethodGet, "/nowhere", key, "", "not_found", 404},
	} {
		a := s.do(c.method, lothian, c.path, c.key, c.body)
		code, run := a.refusal()
		if a.status != c.status || code != c.code || run != false {
			t.Errorf("%s: status %d, code %s, run %v; want %d, %s, false", c.name, a.status, code, run, c.status, c.code)
		}
	}
	a := s.chat(lothian, boundKey, "x", false)
	if !strings.Contains(a.body, s.address("clyde", 0)) || strings.Contains(a.body, lothian) {
		t.Errorf("refusal of a bound customer does not name the hosts of its region alone: %s", a.body)
	}
}
