package inspector

import "testing"

type inner struct {
	n    int
	next *inner
}

type outer struct {
	inner *inner
	all   map[string][]*inner
	skip  skipped
}

type skipped struct{ n int }

// TestChangesShow guards against a change that a diff of two states does not show: in an unexported field, behind a
// pointer, in a map or in a slice; and against a walk that does not end.
func TestChangesShow(t *testing.T) {
	loop := &inner{n: 1}
	loop.next = loop
	v := &outer{inner: loop, all: map[string][]*inner{"a": {{n: 2}}}}
	last := Print(v, "inspector.skipped")
	for name, change := range map[string]func(){
		"field":     func() { v.inner.n++ },
		"element":   func() { v.all["a"][0].n++ },
		"new entry": func() { v.all["b"] = nil },
		"new slice": func() { v.all["a"] = append(v.all["a"], &inner{}) },
	} {
		change()
		now := Print(v, "inspector.skipped")
		if now == last {
			t.Errorf("%s: the state is the same as before:\n%s", name, now)
		}
		last = now
	}
	v.skip.n++
	if now := Print(v, "inspector.skipped"); now != last {
		t.Errorf("a type that is left out changes the state:\n%s", now)
	}
}
