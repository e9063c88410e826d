package configurer

import (
	"math"

	"google.golang.org/protobuf/proto"

	"github.com/trefoilloft/trefoilloft/internal/clamper"
	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

// Largest numbers of a configuration in force. Beyond them a number has no other effect than at them.
const (
	// MaxBodyBytes is far above what a host has memory for.
	MaxBodyBytes   = 1 << 40
	maxConnections = 1 << 30
	maxSlots       = 1 << 16 // reports of upstreams cannot state more
	maxStride      = 1 << 20
	maxMemory      = 1 << 50 // tokens
	maxAttempts    = 1 << 16
	maxPriority    = 1 << 20
	maxWeight      = 1e6
	minWeight      = 1e-6
)

// InRange returns an item whose numbers the rest of the code can compute with: it itself, or a copy in which
// each number out of range is the closest one in it. Numbers below 0 become 0, except that a route's timeout
// may be below 0: the time of its requests is over when they arrive.
func InRange(it *schema.Item) *schema.Item {
	check := clamping{dry: true}
	if check.item(it); !check.changed {
		return it
	}
	clamped := proto.Clone(it).(*schema.Item)
	(&clamping{}).item(clamped)
	return clamped
}

// clamping sets the numbers of an item that are out of range, or only finds out whether there are any.
type clamping struct {
	dry     bool
	changed bool
}

func set[T comparable](c *clamping, field *T, value T) {
	if *field == value {
		return
	}
	c.changed = true
	if !c.dry {
		*field = value
	}
}

func (c *clamping) amount(field *float64, high float64) { set(c, field, clamper.Amount(*field, high)) }

func (c *clamping) seconds(field *float64) { c.amount(field, timer.MaxSeconds) }

func (c *clamping) count(field *int32, high int32) { set(c, field, max(0, min(*field, high))) }

func (c *clamping) size(field *int64, high int64) { set(c, field, max(0, min(*field, high))) }

func (c *clamping) item(it *schema.Item) {
	switch x := it.Value.(type) {
	case *schema.Item_Route:
		c.route(x.Route)
	case *schema.Item_Pool:
		c.pool(x.Pool)
	case *schema.Item_Customer:
		c.customer(x.Customer)
	case *schema.Item_Model:
		c.count(&x.Model.Replicas, maxSlots)
		c.amount(&x.Model.Price, clamper.MaxAmount)
	case *schema.Item_Bounds:
		c.size(&x.Bounds.Header, MaxBodyBytes)
		c.size(&x.Bounds.Body, MaxBodyBytes)
		c.seconds(&x.Bounds.Patience)
		c.seconds(&x.Bounds.Idle)
	}
}

func (c *clamping) route(r *schema.Route) {
	if r.Timeout < 0 {
		set(c, &r.Timeout, max(r.Timeout, -timer.MaxSeconds))
	} else {
		c.seconds(&r.Timeout)
	}
	c.seconds(&r.Objective)
	c.seconds(&r.Gap)
	c.count(&r.Priority, maxPriority)
	c.count(&r.Attempts, maxAttempts)
	c.weights(r.Targets)
}

// weights keeps the ratios of weights that are too large or too small to be added.
func (c *clamping) weights(targets []*schema.Target) {
	largest := 0.0
	for _, t := range targets {
		if t.Weight > largest { // false for NaN
			largest = min(t.Weight, math.MaxFloat64)
		}
	}
	unit := 1.0
	if largest != clamper.Amount(largest, clamper.MaxAmount) {
		unit = largest
	}
	for _, t := range targets {
		set(c, &t.Weight, clamper.Amount(min(t.Weight, math.MaxFloat64)/unit, clamper.MaxAmount))
	}
}

func (c *clamping) pool(p *schema.Pool) {
	c.count(&p.Connections, maxConnections)
	c.seconds(&p.Warmup)
	c.amount(&p.Coldrate, clamper.MaxAmount)
	if e := p.Engine; e != nil {
		c.count(&e.Slots, maxSlots)
		c.size(&e.Tokens, maxMemory)
		c.count(&e.Stride, maxStride)
	}
}

func (c *clamping) customer(x *schema.Customer) {
	c.amount(&x.Rate, clamper.MaxAmount)
	c.amount(&x.Burst, clamper.MaxAmount)
	c.amount(&x.Plain, clamper.MaxAmount)
	if x.Weight > 0 && x.Weight < minWeight {
		set(c, &x.Weight, minWeight)
	} else {
		c.amount(&x.Weight, maxWeight)
	}
	c.seconds(&x.Objective)
	if x.Priority != nil {
		c.count(x.Priority, maxPriority)
	}
}
