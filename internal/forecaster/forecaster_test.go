package forecaster

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var update = flag.Bool("update", false, "write the golden files")

// TestPromises compares what refused callers are told. It guards against two callers that are told the same
// place, a less urgent caller before more urgent ones, times beyond a third of what a caller has left, and
// delays that are told although the caller would be too late.
func TestPromises(t *testing.T) {
	const s = time.Second
	f := Forecast{Random: func() float64 { return 0.5 }}
	now := time.Hour
	var got strings.Builder
	for i, c := range []struct {
		supply    Supply
		position  Position
		ahead     float64
		remaining time.Duration
	}{
		{Supply{Rate: 4}, Position{0, 1}, 0, 6 * s},
		{Supply{Rate: 4}, Position{0, 1}, 0, 6 * s},
		{Supply{Rate: 4}, Position{0, 2}, 0, 6 * s},
		{Supply{Rate: 4}, Position{1, 0}, 0, 6 * s},
		{Supply{Rate: 4}, Position{0, 0}, 0, 6 * s}, // has used less: the places of the others do not count
		{Supply{Rate: 4}, Position{0, 3}, 2, 6 * s},
		{Supply{Rate: 4}, Position{0, 3}, 0, 1 * s}, // no place is early enough
		{Supply{Rate: 0.1}, Position{0, 3}, 0, 6 * s},
		{Supply{Rate: 4}, Position{0, 9}, 0, -s},
		{Supply{Rate: 4, Free: 9}, Position{0, -1}, 0, 6 * s},
	} {
		wait := f.Wait(c.supply, c.position, c.ahead, now)
		x, placed := f.Promise(Promise{Key: uint64(i), Position: c.position}, c.supply, c.ahead, c.remaining, now)
		fmt.Fprintf(&got, "%d: rate %v, free %v, rank %d, start %v, %v ahead, %v left: waits %v, returns after %v, placed %v\n",
			i, c.supply.Rate, c.supply.Free, c.position.Rank, c.position.Start, c.ahead, c.remaining, wait, x.At-now, placed)
	}
	golden(t, "testdata/promises.golden", got.String())
}

func golden(t *testing.T, name, got string) {
	t.Helper()
	if *update {
		if err := os.WriteFile(name, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(string(want), got); d != "" {
		t.Errorf("%s differs (-want +got):\n%s", name, d)
	}
}

// TestCrowdIsSpread guards against callers that return together: of 300 that are refused at once, no more may
// be told a time in any 100 ms than find slots then.
func TestCrowdIsSpread(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	f := Forecast{Random: r.Float64}
	now := time.Hour
	var told []time.Duration
	for i := range 300 {
		x, placed := f.Promise(Promise{Key: uint64(i), Position: Position{0, float64(i)}}, Supply{Rate: 50}, 0, 15*time.Second, now)
		at := x.At
		if at > now+5*time.Second {
			t.Fatalf("caller %d is told %v, want at most a third of 15s", i, at-now)
		}
		if placed {
			told = append(told, at)
		}
	}
	slices.Sort(told)
	for i, at := range told {
		n := 0
		for n < len(told)-i && told[i+n] < at+100*time.Millisecond {
			n++
		}
		if n > 4 { // 1.5 places, and one more at each end
			t.Fatalf("%d callers are told to return within 100ms from %v, want at most 4", n, at-now)
		}
	}
	if len(told) < 72 {
		t.Errorf("%d callers got one of the 74 places, want at least 72", len(told))
	}
	f.Expire(now + 2*time.Second + PassedAfter)
	if n := f.Pending(); n < 42 || n > 48 {
		t.Errorf("%d promises are pending after 2s, want some 45", n)
	}
}

// TestReturns guards against taking an early or an old return for one in time, and against a table that
// grows with the load.
func TestReturns(t *testing.T) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	r := Returns{}
	now := time.Hour
	for i := range uint64(42_000) {
		r.Add(Return{Key: i, ToldAt: now, DueAt: now + time.Second}, now)
	}
	if n := r.Len(); n != DefaultMaxReturns {
		t.Errorf("%d requests are remembered, want %d", n, DefaultMaxReturns)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	if size := int64(after.HeapAlloc) - int64(before.HeapAlloc); size > 2<<20 {
		t.Errorf("the table holds %d bytes, want at most 2 MiB", size)
	}
	const key = 41_999
	x := r.Find(key, now)
	for _, c := range []struct {
		after time.Duration
		early bool
	}{{0, true}, {980 * time.Millisecond, true}, {990 * time.Millisecond, false}, {time.Second, false}, {5 * time.Second, false}} {
		if got := x.IsEarly(now + c.after); got != c.early {
			t.Errorf("a caller that was told 1s and returns after %v: early %v", c.after, got)
		}
	}
	if r.Find(key, now+returnAge) == nil {
		t.Error("a request is forgotten too soon")
	}
	if x := r.Find(key, now+returnAge+1); x != nil || r.Len() != 0 {
		t.Errorf("%+v and %d others are remembered after %v", x, r.Len(), returnAge)
	}
}

// TestHeldSlots guards against holding slots for callers that do not return, or against giving them to a
// newcomer while the caller comes.
func TestHeldSlots(t *testing.T) {
	f := Forecast{}
	now := time.Hour
	f.Promise(Promise{Key: 1, Position: Position{0, 1}}, Supply{Rate: 4}, 0, 15*time.Second, now) // after 250 ms
	for _, c := range []struct {
		after    time.Duration
		position Position
		want     int
	}{
		{199 * time.Millisecond, Position{0, 2}, 0}, {200 * time.Millisecond, Position{0, 2}, 1}, {200 * time.Millisecond, Position{1, 0}, 1},
		{200 * time.Millisecond, Position{0, 0}, 0}, {300 * time.Millisecond, Position{0, 2}, 1}, {301 * time.Millisecond, Position{0, 2}, 0},
	} {
		if got := f.Held(c.position, now+c.after); got != c.want {
			t.Errorf("after %v %d slots are held from %+v, want %d", c.after, got, c.position, c.want)
		}
	}
	if x, found := f.Drop(1); !found || x.Key != 1 || f.Pending() != 0 {
		t.Error("the place of a caller that returned is not given up")
	}
	if _, found := f.Drop(1); found {
		t.Error("a place is given up twice")
	}
}
