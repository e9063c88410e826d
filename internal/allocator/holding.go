package allocator

import "time"

// Holding is what a host holds of a customer's limits. Amounts are in tokens, rates in tokens per second.
type Holding struct {
	// Limits are those of all hosts together.
	Limits Limits
	// Level is what the host has saved of its allotment or standing share, Borrowed what is left of loans.
	Level, Borrowed float64
	// Rate and Burst are those of the allotment or standing share, which is valid for Left.
	Rate, Burst float64
	Left        time.Duration
	// DemandRate is the customer's average demand at this host.
	DemandRate float64
}

// Peek returns what this host holds of a customer's limits, and the error with which Take would answer a request now.
// It changes nothing. It returns false if the customer is unknown or has no limit.
func (b *Bucket) Peek(customer string, tokens float64) (Holding, bool, error) {
	limits, known := b.Limits(customer)
	if !known || limits.Rate <= 0 {
		return Holding{}, false, nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Now()
	var a *account
	if x := b.customers[customer]; x != nil {
		c := *x
		a = &c
		b.refresh(a, limits, now)
	} else {
		a = b.newAccount(limits, now)
	}
	h := Holding{Limits: limits, Level: a.level, DemandRate: a.demandRate}
	if now < a.borrowedUntil {
		h.Borrowed = a.borrowed
	}
	if now < a.allottedUntil {
		h.Rate, h.Burst = b.hostLimits(a, limits, now)
		h.Left = a.allottedUntil - now
	}
	_, err := b.pay(customer, a, tokens, now)
	return h, true, err
}
