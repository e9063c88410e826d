package parser

import (
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"unicode"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

const (
	// Longest name of a customer, model, region or route, in bytes.
	nameLimitBytes   = 120
	defaultObjective = 0.52 // seconds to the first token
)

var methods = []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete}

// row is one row of a sheet. Its methods record an error and go on.
type row struct {
	p     *sheetParser
	line  int
	cells map[string]string
}

func (r *row) customer() *schema.Item {
	c := &schema.Customer{
		Name:      r.name("name", true),
		Rate:      float64(r.whole("rate", 0)),
		Burst:     float64(r.whole("burst", 1)),
		Weight:    r.decimal("weight", 1),
		Home:      r.name("home", false),
		Objective: r.decimal("objective", defaultObjective),
	}
	return &schema.Item{Path: "customer/" + c.Name, Value: &schema.Item_Customer{Customer: c}}
}

func (r *row) model() *schema.Item {
	m := &schema.Model{
		Name:     r.name("name", true),
		Region:   r.name("region", true),
		Replicas: int32(r.whole("replicas", 0)),
		Price:    r.decimal("price", 1),
	}
	return &schema.Item{Path: "model/" + m.Name + "@" + m.Region, Value: &schema.Item_Model{Model: m}}
}

func (r *row) route() *schema.Item {
	x := &schema.Route{
		Name:       r.name("name", true),
		Method:     strings.ToUpper(r.cells["method"]),
		Prefix:     r.cells["prefix"],
		Idempotent: r.flag("repeat"),
		Open:       r.flag("open"),
		Home:       r.name("home", false),
	}
	if !slices.Contains(methods, x.Method) {
		r.p.fail(r.line, "method", "%q is not one of %s", x.Method, strings.Join(methods, ", "))
	}
	if !strings.HasPrefix(x.Prefix, "/") || strings.HasPrefix(x.Prefix, "/v1/") || strings.ContainsAny(x.Prefix, "?#% ") {
		r.p.fail(r.line, "prefix", "%q is not a path outside /v1/", x.Prefix)
	}
	if x.Open && !x.Idempotent {
		r.p.fail(r.line, "open", "a route open to all must allow its calls to be repeated")
	}
	return &schema.Item{Path: "route/" + x.Name, Value: &schema.Item_Route{Route: x}}
}

func (r *row) name(column string, needed bool) string {
	v := r.cells[column]
	bad := func(c rune) bool { return unicode.IsControl(c) || c == '/' || c == '@' }
	switch {
	case v == "" && needed:
		r.p.fail(r.line, column, "is empty")
	case len(v) > nameLimitBytes:
		r.p.fail(r.line, column, "is longer than %d bytes", nameLimitBytes)
	case strings.ContainsFunc(v, bad):
		r.p.fail(r.line, column, "%q holds a character that names may not hold", v)
	}
	return v
}

// whole reads a whole number of at least least.
func (r *row) whole(column string, least int64) int64 {
	v := r.cells[column]
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil {
		r.p.fail(r.line, column, "%q is not a whole number without separators", v)
		return 0
	}
	if n < least || n > math.MaxInt32*int64(1000) {
		r.p.fail(r.line, column, "%d is out of range", n)
	}
	return n
}

// decimal reads a positive number; an empty cell gives missing.
func (r *row) decimal(column string, missing float64) float64 {
	v := r.cells[column]
	if v == "" {
		return missing
	}
	if r.p.decimalComma && !strings.Contains(v, ".") {
		v = strings.Replace(v, ",", ".", 1)
	}
	f, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) {
		r.p.fail(r.line, column, "%q is not a number", r.cells[column])
		return missing
	}
	if f <= 0 {
		r.p.fail(r.line, column, "must be above 0")
	}
	return f
}

func (r *row) flag(column string) bool {
	switch strings.ToLower(r.cells[column]) {
	case "yes", "true", "1":
		return true
	case "no", "false", "0", "":
		return false
	}
	r.p.fail(r.line, column, "%q is neither yes nor no", r.cells[column])
	return false
}
