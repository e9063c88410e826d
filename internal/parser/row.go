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
	// Limit of the names of customers, models, regions and routes.
	maxNameBytes            = 120
	defaultObjectiveSeconds = 0.52 // time to the first token
)

var httpMethods = []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete}

// row is one row of a sheet. Its methods add errors to p and continue, so that all are reported.
type row struct {
	p     *sheetParser
	line  int
	cells map[string]string
}

func (r *row) customer() *schema.Item {
	c := &schema.Customer{
		Name:      r.name("name", true),
		Rate:      float64(r.wholeNumber("rate", 0)),
		Burst:     float64(r.wholeNumber("burst", 1)),
		Weight:    r.decimal("weight", 1),
		Home:      r.name("home", false),
		Objective: r.decimal("objective", defaultObjectiveSeconds),
	}
	return &schema.Item{Path: "customer/" + c.Name, Value: &schema.Item_Customer{Customer: c}}
}

func (r *row) model() *schema.Item {
	m := &schema.Model{
		Name:     r.name("name", true),
		Region:   r.name("region", true),
		Replicas: int32(r.wholeNumber("replicas", 0)),
		Price:    r.decimal("price", 1),
	}
	return &schema.Item{Path: "model/" + m.Name + "@" + m.Region, Value: &schema.Item_Model{Model: m}}
}

func (r *row) route() *schema.Item {
	x := &schema.Route{
		Name:       r.name("name", true),
		Method:     strings.ToUpper(r.cells["method"]),
		Prefix:     r.cells["prefix"],
		Idempotent: r.yesOrNo("repeat"),
		Open:       r.yesOrNo("open"),
		Home:       r.name("home", false),
	}
	if !slices.Contains(httpMethods, x.Method) {
		r.p.addError(r.line, "method", "%q is not one of %s", x.Method, strings.Join(httpMethods, ", "))
	}
	if !strings.HasPrefix(x.Prefix, "/") || strings.HasPrefix(x.Prefix, "/v1/") || strings.ContainsAny(x.Prefix, "?#% ") {
		r.p.addError(r.line, "prefix", "%q must begin with a slash but not with /v1/, and must not contain ?, #, percent signs or spaces", x.Prefix)
	}
	if x.Open && !x.Idempotent {
		r.p.addError(r.line, "open", "a route that needs no key must have yes in column repeat")
	}
	return &schema.Item{Path: "route/" + x.Name, Value: &schema.Item_Route{Route: x}}
}

func (r *row) name(column string, required bool) string {
	v := r.cells[column]
	forbidden := func(c rune) bool { return unicode.IsControl(c) || c == '/' || c == '@' }
	switch {
	case v == "" && required:
		r.p.addError(r.line, column, "must not be empty")
	case len(v) > maxNameBytes:
		r.p.addError(r.line, column, "is longer than %d bytes", maxNameBytes)
	case strings.ContainsFunc(v, forbidden):
		r.p.addError(r.line, column, "%q contains a slash, an at sign or a control character", v)
	}
	return v
}

// wholeNumber returns a cell's whole number, which must be at least minValue and at most
// 2,147,483,647,000. It returns 0 if the cell holds no whole number.
func (r *row) wholeNumber(column string, minValue int64) int64 {
	v := r.cells[column]
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil {
		r.p.addError(r.line, column, "%q is not a whole number without separators", v)
		return 0
	}
	if n < minValue || n > math.MaxInt32*int64(1000) {
		r.p.addError(r.line, column, "%d is out of range", n)
	}
	return n
}

// decimal returns a cell's number, which must be above 0. It returns defaultValue if the cell is
// empty or holds no number.
func (r *row) decimal(column string, defaultValue float64) float64 {
	v := r.cells[column]
	if v == "" {
		return defaultValue
	}
	if r.p.decimalComma && !strings.Contains(v, ".") {
		v = strings.Replace(v, ",", ".", 1)
	}
	f, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) {
		r.p.addError(r.line, column, "%q is not a number", r.cells[column])
		return defaultValue
	}
	if f <= 0 {
		r.p.addError(r.line, column, "must be above 0")
	}
	return f
}

func (r *row) yesOrNo(column string) bool {
	switch strings.ToLower(r.cells[column]) {
	case "yes", "true", "1":
		return true
	case "no", "false", "0", "":
		return false
	}
	r.p.addError(r.line, column, "%q is neither yes nor no", r.cells[column])
	return false
}
