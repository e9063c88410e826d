// Package prober names the steps of operations at which tests induce faults. A nil
// *Points costs one comparison and never fails.
package prober

// Points calls Visit at each named step. An error returned by Visit takes the place of
// the step's own failure.
type Points struct {
	Visit func(step string) error
}

// Hit visits a step.
func (p *Points) Hit(step string) error {
	if p == nil || p.Visit == nil {
		return nil
	}
	return p.Visit(step)
}
