// Command review-standin runs the scripted cases of the review. Each case starts the project's own
// programs as separate processes, plays the platform, clients, operator and replicas around them, and
// judges one rule by what these saw.
package main

import (
	"errors"
	"fmt"
	"os"
	"time"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxCaseDuration ends a case that hangs, below the 120 s that a script may take.
const maxCaseDuration = 112 * time.Second

// errNotRun wraps what keeps a case from running: it says nothing of the rule.
var errNotRun = errors.New("the case could not run")

// scenario is one case. It returns whether the rule was broken.
type scenario func(d *deployment, trouble bool) (broken bool, err error)

var scenarios = map[string]scenario{
	"stop":        stopDuringBooking,
	"same-id":     sameID,
	"lost-host":   lostHost,
	"double-path": doublePath,
	"leaving":     leaving,
	"release":     release,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 2 || scenarios[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin SCENARIO RECORD-FILE")
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec, err := newRecord(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	rec.log("case %s, disruption %v", args[0], trouble)
	type result struct {
		broken bool
		err    error
	}
	d, err := newDeployment(rec)
	if err != nil {
		rec.log("%v", err)
		return exitNotRun
	}
	defer d.close()
	done := make(chan result, 1)
	go func() {
		broken, err := scenarios[args[0]](d, trouble)
		done <- result{broken, err}
	}()
	select {
	case <-time.After(maxCaseDuration):
		rec.log("not run: the case took longer than %v", maxCaseDuration)
		return exitNotRun
	case r := <-done:
		switch {
		case r.err != nil:
			rec.log("not run: %v", r.err)
			return exitNotRun
		case r.broken:
			rec.log("result: the rule was BROKEN")
			return exitBroken
		}
		rec.log("result: the rule held")
		return exitHeld
	}
}
