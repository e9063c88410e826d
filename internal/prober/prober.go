// Package prober names the steps of operations at which tests induce faults. A nil
// *Points costs one comparison and never fails.
package prober

import (
	"os"
	"syscall"
)

// Points calls Visit at each named step. An error returned by Visit takes the place of
// the step's own failure.
type Points struct {
	Visit func(step string) error
}

// killVariable names the step at which tests of whole processes end this process.
const killVariable = "TREFOIL_KILL_AT"

// FromEnvironment returns points that end the process, as a kill would, at the step that
// TREFOIL_KILL_AT names; nil if it is unset.
func FromEnvironment() *Points {
	wanted := os.Getenv(killVariable)
	if wanted == "" {
		return nil
	}
	return &Points{Visit: func(step string) error {
		if step == wanted {
			_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
			select {} // the signal ends the process
		}
		return nil
	}}
}

// Hit visits a step.
func (p *Points) Hit(step string) error {
	if p == nil || p.Visit == nil {
		return nil
	}
	return p.Visit(step)
}
