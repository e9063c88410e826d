package parser

import (
	"encoding/csv"
	"io"
	"strconv"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// Export writes a sheet that Parse reads back to the same items.
func Export(w io.Writer, s *Sheet) error {
	out := csv.NewWriter(w)
	rows := []map[string]string{{"kind": "sheet", "name": strconv.FormatInt(s.Number, 10)}}
	for _, it := range s.Items {
		if r := exportItem(it); r != nil {
			rows = append(rows, r)
		}
	}
	if err := out.Write(columns); err != nil {
		return err
	}
	for _, r := range rows {
		cells := make([]string, len(columns))
		for i, c := range columns {
			cells[i] = r[c]
		}
		if err := out.Write(cells); err != nil {
			return err
		}
	}
	out.Flush()
	return out.Error()
}

// exportItem returns the cells of an item, or nil if no sheet states items of its kind.
func exportItem(it *schema.Item) map[string]string {
	switch v := it.Value.(type) {
	case *schema.Item_Customer:
		c := v.Customer
		return map[string]string{
			"kind": "customer", "name": c.Name, "rate": number(c.Rate), "burst": number(c.Burst),
			"weight": number(c.Weight), "home": c.Home, "objective": number(c.Objective),
		}
	case *schema.Item_Model:
		m := v.Model
		return map[string]string{
			"kind": "model", "name": m.Name, "region": m.Region,
			"replicas": strconv.Itoa(int(m.Replicas)), "price": number(m.Price),
		}
	case *schema.Item_Route:
		r := v.Route
		return map[string]string{
			"kind": "route", "name": r.Name, "method": r.Method, "prefix": r.Prefix,
			"repeat": yesNo(r.Idempotent), "open": yesNo(r.Open), "home": r.Home,
		}
	}
	return nil
}

func number(f float64) string { return strconv.FormatFloat(f, 'f', -1, 64) }

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
