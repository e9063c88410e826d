package configurer

import (
	"math"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/testing/protocmp"

	"github.com/trefoilloft/trefoilloft/internal/clamper"
	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// statedNumbers returns an item of each kind that operators state numbers in. All its numbers are in range.
func statedNumbers() []*schema.Item {
	priority := int32(1)
	return []*schema.Item{
		{Path: "route/h/a/", Value: &schema.Item_Route{Route: &schema.Route{
			Timeout: 5, Objective: 1, Gap: 0.4, Priority: 1, Attempts: 2, Targets: []*schema.Target{{Pool: "a", Weight: 90}, {Pool: "b", Weight: 10}},
		}}},
		{Path: "pool/a", Value: &schema.Item_Pool{Pool: &schema.Pool{
			Name: "a", Connections: 96, Warmup: 3, Coldrate: 2, Engine: &schema.Engine{Slots: 64, Tokens: 222812, Stride: 5},
		}}},
		{Path: "customer/c", Value: &schema.Item_Customer{Customer: &schema.Customer{
			Name: "c", Rate: 428720, Burst: 428720, Weight: 1, Objective: 1, Priority: &priority, Plain: 200,
		}}},
		{Path: "model/m", Value: &schema.Item_Model{Model: &schema.Model{Name: "m", Replicas: 2, Price: 0.5}}},
		{Path: "bounds/callers", Value: &schema.Item_Bounds{Bounds: &schema.Bounds{Header: 16384, Body: 4194304, Patience: 3, Idle: 15}}},
	}
}

// numberField is a number in a message, which get and set read and write.
type numberField struct {
	name string
	kind protoreflect.Kind
	get  func() protoreflect.Value
	set  func(protoreflect.Value)
}

// numberFields returns all numbers of a message and of those within it.
func numberFields(m protoreflect.Message) []numberField {
	var all []numberField
	fields := m.Descriptor().Fields()
	for i := range fields.Len() {
		f := fields.Get(i)
		switch {
		case f.IsList() && f.Kind() == protoreflect.MessageKind:
			for k := range m.Get(f).List().Len() {
				all = append(all, numberFields(m.Get(f).List().Get(k).Message())...)
			}
		case f.IsList():
		case f.Kind() == protoreflect.MessageKind && m.Has(f):
			all = append(all, numberFields(m.Get(f).Message())...)
		case f.Kind() == protoreflect.DoubleKind, f.Kind() == protoreflect.Int32Kind, f.Kind() == protoreflect.Int64Kind:
			all = append(all, numberField{string(f.FullName()), f.Kind(), func() protoreflect.Value { return m.Get(f) }, func(v protoreflect.Value) { m.Set(f, v) }})
		}
	}
	return all
}

// extremes returns the numbers at the ends of the range of a kind, and those around 0.
func extremes(kind protoreflect.Kind) []protoreflect.Value {
	var all []protoreflect.Value
	switch kind {
	case protoreflect.Int32Kind:
		for _, n := range []int32{math.MinInt32, -1, 0, 1, math.MaxInt32 - 1, math.MaxInt32} {
			all = append(all, protoreflect.ValueOfInt32(n))
		}
	case protoreflect.Int64Kind:
		for _, n := range []int64{math.MinInt64, -1, 0, 1, math.MaxInt64 - 1, math.MaxInt64} {
			all = append(all, protoreflect.ValueOfInt64(n))
		}
	default:
		for _, x := range []float64{math.Inf(-1), -math.MaxFloat64, -1, 0, math.SmallestNonzeroFloat64, 0.5, 1e19, math.MaxFloat64, math.Inf(1), math.NaN()} {
			all = append(all, protoreflect.ValueOfFloat64(x))
		}
	}
	return all
}

// checkNumbers checks that sums, products with small factors and quotients of all numbers of an item stay finite.
func checkNumbers(t *testing.T, name string, it *schema.Item) {
	t.Helper()
	for _, f := range numberFields(it.ProtoReflect()) {
		switch v := f.get().Interface().(type) {
		case float64:
			if !(math.Abs(v) <= clamper.MaxAmount) || v != 0 && math.IsInf(clamper.MaxAmount/v, 0) || v < 0 && f.name != "trefoil.Route.timeout" {
				t.Errorf("%s: %s is %v", name, f.name, v)
			}
		case int32:
			if v < 0 || v > 1<<30 {
				t.Errorf("%s: %s is %d", name, f.name, v)
			}
		case int64:
			if v < 0 || v > 1<<50 {
				t.Errorf("%s: %s is %d", name, f.name, v)
			}
		}
	}
}

// TestNumbersInRange guards against a number of a configuration that breaks what computes with it, such as the
// largest limit of bodies, which left every request without an answer.
func TestNumbersInRange(t *testing.T) {
	fields := 0
	for _, stated := range statedNumbers() {
		if InRange(stated) != stated {
			t.Errorf("%s: an item in range was changed", stated.Path)
		}
		for i, f := range numberFields(stated.ProtoReflect()) {
			fields++
			for _, value := range extremes(f.kind) {
				name := f.name + " = " + value.String()
				raw := proto.Clone(stated).(*schema.Item)
				numberFields(raw.ProtoReflect())[i].set(value)
				before := proto.Clone(raw)
				checkNumbers(t, name, InRange(raw))
				if diff := cmp.Diff(before, raw, protocmp.Transform(), cmpopts.EquateNaNs()); diff != "" {
					t.Errorf("%s: the stated item was changed: -want +got\n%s", name, diff)
				}
				if again := InRange(InRange(raw)); again != InRange(again) {
					t.Errorf("%s: not in range after InRange", name)
				}
			}
		}
	}
	if fields != 25 {
		t.Errorf("%d numbers were tried, want 25: does the schema have new ones?", fields)
	}
}

// TestWeightsInRange guards against weights that can no longer be added, or whose ratio changes as they are made
// to fit.
func TestWeightsInRange(t *testing.T) {
	for _, c := range []struct{ stated, want []float64 }{
		{[]float64{90, 10}, []float64{90, 10}},
		{[]float64{math.MaxFloat64, math.MaxFloat64}, []float64{1, 1}},
		{[]float64{1e300, 5e299, 1}, []float64{1, 0.5, 1e-9}},
		{[]float64{5e-324, 5e-324, 0}, []float64{1, 1, 0}},
		{[]float64{90, -10}, []float64{90, 0}},
		{[]float64{-1, -2}, []float64{0, 0}},
		{[]float64{math.NaN(), 3}, []float64{0, 3}},
		{[]float64{math.Inf(1), 3}, []float64{1, 1e-9}},
	} {
		r := &schema.Route{}
		for _, w := range c.stated {
			r.Targets = append(r.Targets, &schema.Target{Weight: w})
		}
		var got []float64
		for _, x := range InRange(&schema.Item{Path: "route/x", Value: &schema.Item_Route{Route: r}}).GetRoute().Targets {
			got = append(got, x.Weight)
		}
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("weights %v: -want +got\n%s", c.stated, diff)
		}
	}
}

// TestItemsOfEarlierBuilds guards against numbers out of range that an earlier build has stored or sends: they are
// in range once read, and the hosts of all builds go on to hash and compare the same items.
func TestItemsOfEarlierBuilds(t *testing.T) {
	stated := &schema.Item{Path: "bounds/callers", Value: &schema.Item_Bounds{Bounds: &schema.Bounds{Body: math.MaxInt64}}}
	command := &schema.Command{Op: &schema.Command_Document{Document: &schema.Document{Number: 7, Items: []*schema.Item{stated}}}}
	s := New()
	follower := s.Snapshot()
	_, delta := s.Apply(proto.Clone(command).(*schema.Command))
	if diff := cmp.Diff(stated, delta.Items[0], protocmp.Transform()); diff != "" {
		t.Errorf("delta to other hosts: -want +got\n%s", diff)
	}
	follower, err := follower.ApplyDelta(delta)
	if err != nil {
		t.Fatal(err)
	}
	b, err := s.Encode()
	if err != nil {
		t.Fatal(err)
	}
	saved := &schema.Snapshot{}
	if err := proto.Unmarshal(b, saved); err != nil {
		t.Fatal(err)
	}
	restored, err := Decode(b)
	if err != nil {
		t.Fatal(err)
	}
	for name, x := range map[string]*Snapshot{"leader": s.Snapshot(), "follower": follower, "restored": restored.Snapshot(), "whole": FromMessage(saved)} {
		if got := x.Bounds().GetBody(); got != MaxBodyBytes {
			t.Errorf("%s: bodies of %d bytes, want %d", name, got, MaxBodyBytes)
		}
		if diff := cmp.Diff(s.Snapshot().Hash, x.Hash); diff != "" {
			t.Errorf("%s: hash: -want +got\n%s", name, diff)
		}
	}
	if changed := diffKinds(restored.Snapshot(), []*schema.Item{stated}, documentKinds); len(changed) != 0 {
		t.Errorf("the same items count as changed: %v", changed)
	}
	_, delta = restored.Apply(&schema.Command{Op: &schema.Command_Document{Document: &schema.Document{Number: 8}}})
	if got := restored.Snapshot().Bounds(); got != nil || !delta.Items[0].Removed {
		t.Errorf("removed bounds are still in force: %v", got)
	}
	small := &schema.Item{Path: "bounds/callers", Value: &schema.Item_Bounds{Bounds: &schema.Bounds{Body: 5}}}
	s.Apply(&schema.Command{Op: &schema.Command_Document{Document: &schema.Document{Number: 9, Items: []*schema.Item{small}}}})
	if got := s.Snapshot().Bounds().GetBody(); got != 5 {
		t.Errorf("bodies of %d bytes after a change, want 5", got)
	}
}
