package parser

import (
	"encoding/csv"
	"io"
	"strconv"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// Export writes a sheet as CSV, such that Parse returns the same number and items. Items of kinds
// that sheets do not hold are left out.
func Export(w io.Writer, s *Sheet) error {
	writer := csv.NewWriter(w)
	rows := []map[string]string{{"kind": "sheet", "name": strconv.FormatInt(s.Number, 10)}}
	for _, it := range s.Items {
		if r := itemCells(it); r != nil {
			rows = append(rows, r)
		}
	}
	if err := writer.Write(columns); err != nil {
		return err
	}
	for _, r := range rows {
		cells := make([]string, len(columns))
		for i, c := range columns {
			cells[i] = r[c]
		}
		if err := writer.Write(cells); err != nil {
			return err
		}
	}
	writer.Flush()
	return writer.Error()
}

// itemCells returns the cells of an item by column, or nil if sheets do not hold items of its kind.
func itemCells(it *schema.Item) map[string]string {
	switch v := it.Value.(type) {
	case *schema.Item_Customer:
		c := v.Customer
		return map[string]string{
			"kind": "customer", "name": c.Name, "rate": formatNumber(c.Rate), "burst": formatNumber(c.Burst),
			"weight": formatNumber(c.Weight), "home": c.Home, "objective": formatNumber(c.Objective),
		}
	case *schema.Item_Model:
		m := v.Model
		return map[string]string{
			"kind": "model", "name": m.Name, "region": m.Region,
			"replicas": strconv.Itoa(int(m.Replicas)), "price": formatNumber(m.Price),
		}
	case *schema.Item_Route:
		r := v.Route
		return map[string]string{
			"kind": "route", "name": r.Name, "method": r.Method, "prefix": r.Prefix,
			"repeat": formatYesNo(r.Idempotent), "open": formatYesNo(r.Open), "home": r.Home,
		}
	}
	return nil
}

func formatNumber(f float64) string { return strconv.FormatFloat(f, 'f', -1, 64) }

func formatYesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
