// Package injector lets tests inject faults at named steps of operations. Calls on a nil
// *FaultPoints do nothing and cost one comparison.
package injector

import (
	"os"
	"syscall"
)

// FaultPoints calls Visit at each named step. An error that Visit returns is handled as a
// failure of that step. A nil Visit never fails.
type FaultPoints struct {
	Visit func(step string) error
}

// killStepVariable is the environment variable that names the step at which this process is
// killed, in tests of whole processes.
const killStepVariable = "TREFOIL_KILL_AT"

// FromEnvironment returns FaultPoints that kill the process with SIGKILL at the step that
// TREFOIL_KILL_AT names; nil if the variable is unset or empty.
func FromEnvironment() *FaultPoints {
	killStep := os.Getenv(killStepVariable)
	if killStep == "" {
		return nil
	}
	return &FaultPoints{Visit: func(step string) error {
		if step == killStep {
			_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
			select {} // waits for the signal to end the process
		}
		return nil
	}}
}

// Hit calls Visit for the named step and returns its error.
func (p *FaultPoints) Hit(step string) error {
	if p == nil || p.Visit == nil {
		return nil
	}
	return p.Visit(step)
}
