package sharer

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var update = flag.Bool("update", false, "write the golden files")

func use(customer string, rank int, cost time.Duration) Use {
	return Use{Customer: customer, Rank: rank, Cost: cost}
}

// TestOrder compares the order in which waiting requests are served. It guards against a customer that
// displaces others of its rank, a late request before one that is in time, a less urgent rank before a more
// urgent one, and a returned request behind newcomers.
func TestOrder(t *testing.T) {
	const ms = time.Millisecond
	returned := use("c", 0, 100*ms)
	returned.Returned, returned.Earlier = true, -1
	late := use("d", 0, 100*ms)
	late.Late = true
	heavy := use("b", 0, 100*ms)
	heavy.Weight = 2
	var got strings.Builder
	for _, c := range []struct {
		name   string
		served []Use // before, without waiting
		waits  []Use
	}{
		{"one customer sends six times as much", nil, []Use{use("a", 0, 100*ms), use("a", 0, 100*ms), use("a", 0, 100*ms), use("a", 0, 100*ms), use("a", 0, 100*ms), use("a", 0, 100*ms), use("b", 0, 100*ms), use("c", 0, 100*ms), use("c", 0, 100*ms)}},
		{"a large request counts as much as it costs", nil, []Use{use("a", 0, 300*ms), use("a", 0, 100*ms), use("b", 0, 100*ms), use("b", 0, 100*ms), use("b", 0, 100*ms)}},
		{"twice the weight", nil, []Use{use("a", 0, 100*ms), use("a", 0, 100*ms), use("a", 0, 100*ms), heavy, heavy, heavy, heavy}},
		{"what was used without waiting counts", []Use{use("a", 0, 100*ms), use("a", 0, 100*ms), use("a", 0, 100*ms), use("b", 0, 100*ms)}, []Use{use("a", 0, 100*ms), use("b", 0, 100*ms), use("c", 0, 100*ms)}},
		{"ranks and late requests", nil, []Use{use("a", 1, 100*ms), late, use("b", 0, 100*ms), use("b", 0, 100*ms)}},
		{"a request returned", nil, []Use{use("a", 0, 100*ms), use("b", 0, 100*ms), returned}},
	} {
		q := Queue[int]{}
		for _, u := range c.served {
			q.Serve(u, time.Hour)
		}
		for i, u := range c.waits {
			q.Push(u, i, time.Hour)
		}
		fmt.Fprintf(&got, "%s:", c.name)
		for q.Len() > 0 {
			e := q.Take(q.Next(), time.Hour)
			fmt.Fprintf(&got, " %s%d", e.Customer, e.Value)
		}
		got.WriteString("\n")
	}
	golden(t, "testdata/order.golden", got.String())
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

// TestLowerRankIsNotStarved guards against a rank that gets nothing, or more than its part, while more urgent
// requests always wait.
func TestLowerRankIsNotStarved(t *testing.T) {
	q := Queue[int]{}
	now := time.Hour
	served := map[int]int{}
	for range 2 {
		q.Push(use("low", 1, time.Second), 0, now)
	}
	for range 2000 {
		now += 10 * time.Millisecond
		q.Seen(1, now)
		for q.Len() < 6 {
			q.Push(use("high", 0, time.Second), 0, now)
		}
		e := q.Take(q.Next(), now)
		served[e.Rank]++
		if e.Rank == 1 {
			q.Push(use("low", 1, time.Second), 0, now)
		}
	}
	if n := served[1]; n != 100 {
		t.Errorf("the less urgent rank got %d of 2000 slots, want 100", n)
	}
}

// TestShares guards against shares that depend on how much is sent: of two customers that always have
// requests waiting and one that has few, the first two get equal parts of what the third leaves.
func TestShares(t *testing.T) {
	q := Queue[int]{}
	now := time.Hour
	served, waiting := map[string]int{}, map[string]int{}
	for i := range 3000 {
		now += 10 * time.Millisecond
		for waiting["six"] < 50 {
			q.Push(use("six", 0, time.Second), i, now)
			waiting["six"]++
		}
		for waiting["one"] < 10 {
			q.Push(use("one", 0, time.Second), i, now)
			waiting["one"]++
		}
		if i%10 == 0 {
			q.Push(use("few", 0, time.Second), i, now)
		}
		e := q.Take(q.Next(), now)
		served[e.Customer]++
		waiting[e.Customer]--
	}
	want := map[string]int{"few": 300, "one": 1350, "six": 1350}
	for name, n := range want {
		if d := served[name] - n; d < -15 || d > 15 {
			t.Errorf("%s got %d slots, want %d", name, served[name], n)
		}
	}
}

// TestManyCustomers guards against state that grows with the number of customers. 42,000 of them send
// requests at a rate at which all would be remembered.
func TestManyCustomers(t *testing.T) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	q := Queue[int]{}
	now := time.Hour
	for i := range 420_000 {
		now += 10 * time.Microsecond
		u := use(fmt.Sprint("customer", i%42_000), i%2, time.Second)
		if i%3 == 0 {
			q.Serve(u, now)
			continue
		}
		e := q.Push(u, i, now)
		if q.Len() > 400 {
			if i%2 == 0 {
				q.Take(q.Next(), now)
			} else {
				q.Remove(e, now)
			}
		}
	}
	if n := q.Customers(); n > DefaultMaxCustomers {
		t.Errorf("%d customers are remembered, want at most %d", n, DefaultMaxCustomers)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	if size := int64(after.HeapAlloc) - int64(before.HeapAlloc); size > 2<<20 {
		t.Errorf("the queue holds %d bytes, want at most 2 MiB", size)
	}
	for q.Len() > 0 {
		q.Take(0, now)
	}
	q.Serve(use("last", 0, time.Second), now+time.Minute)
	for range DefaultMaxCustomers {
		q.Serve(use("last", 0, time.Second), now+time.Minute)
	}
	if n := q.Customers(); n != 1 {
		t.Errorf("%d customers are remembered a minute later, want 1", n)
	}
	runtime.KeepAlive(&q)
}

// TestRemoveRefunds guards against charging a customer for requests that were refused.
func TestRemoveRefunds(t *testing.T) {
	q := Queue[int]{}
	u := use("a", 0, time.Second)
	for range 50 {
		if !q.Remove(q.Push(u, 0, time.Hour), time.Hour) {
			t.Fatal("a waiting request was not found")
		}
	}
	if lead := q.Lead(u, time.Hour); lead != 0 {
		t.Errorf("lead %v after refusals only, want 0", lead)
	}
}

// TestLeadOutOfRange guards against the lead of a customer of the smallest weight that is reported as below 0, as it is
// longer than a time.Duration holds.
func TestLeadOutOfRange(t *testing.T) {
	q := Queue[int]{}
	u := use("light", 0, 10_000*time.Hour)
	u.Weight = 1e-6
	q.Push(use("other", 0, time.Second), 1, time.Hour)
	q.Serve(u, time.Hour)
	if all := q.Largest(1, time.Hour); len(all) != 1 || all[0].Customer != u.Customer || all[0].Lead <= 0 {
		t.Errorf("got %v, want the customer with its lead", all)
	}
}
