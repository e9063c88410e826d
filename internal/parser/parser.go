package parser

import (
	"bytes"
	"crypto/sha256"
	"encoding/csv"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"unicode/utf8"

	"google.golang.org/protobuf/proto"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// Largest sheet in bytes.
const sheetLimitBytes = 64 << 20

// ErrSheet is what every refusal of a sheet wraps.
var ErrSheet = errors.New("sheet refused")

// Columns of a sheet, in the order that Export writes.
var columns = []string{
	"kind", "name", "region", "rate", "burst", "weight", "home", "objective",
	"replicas", "price", "method", "prefix", "repeat", "open",
}

// Columns that a row of each kind may fill besides kind and name.
var allowed = map[string][]string{
	"sheet":    {},
	"customer": {"rate", "burst", "weight", "home", "objective"},
	"model":    {"region", "replicas", "price"},
	"route":    {"method", "prefix", "repeat", "open", "home"},
}

// RowError is one reason against one cell.
type RowError struct {
	// Row counts from 1, the header row.
	Row    int
	Column string
	Reason string
}

// Error returns the row, the column and the reason.
func (e *RowError) Error() string {
	return fmt.Sprintf("row %d, column %s: %s", e.Row, e.Column, e.Reason)
}

// Sheet is what a file states.
type Sheet struct {
	Number int64
	Items  []*schema.Item
}

// Hash identifies the content, however the file was written.
func (s *Sheet) Hash() string {
	h := sha256.New()
	for _, it := range s.Items {
		b, err := proto.MarshalOptions{Deterministic: true}.Marshal(it)
		if err != nil {
			panic("parser: an item cannot be marshalled: " + err.Error())
		}
		fmt.Fprintf(h, "%d:", len(b))
		h.Write(b)
	}
	return hex.EncodeToString(h.Sum(nil))
}

// Parse reads a sheet. The error joins a *RowError for every bad cell and wraps ErrSheet.
func Parse(r io.Reader) (*Sheet, error) {
	b, err := io.ReadAll(io.LimitReader(r, sheetLimitBytes+1))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrSheet, err)
	}
	if len(b) > sheetLimitBytes {
		return nil, fmt.Errorf("%w: larger than %d bytes", ErrSheet, sheetLimitBytes)
	}
	b = bytes.TrimPrefix(b, []byte("\xef\xbb\xbf"))
	if row := badEncoding(b); row > 0 {
		return nil, refusal([]error{&RowError{Row: row, Column: "-", Reason: "not UTF-8"}})
	}
	comma := delimiter(b)
	reader := csv.NewReader(bytes.NewReader(b))
	reader.Comma = comma
	reader.FieldsPerRecord = -1
	p := &sheetParser{decimalComma: comma != ',', seen: map[string]int{}}
	if err := p.readAll(reader); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrSheet, err)
	}
	return p.finish()
}

// badEncoding returns the row of the first byte that is not UTF-8, or 0.
func badEncoding(b []byte) int {
	for i, line := range bytes.Split(b, []byte("\n")) {
		if !utf8.Valid(line) || bytes.IndexByte(line, 0) >= 0 {
			return i + 1
		}
	}
	return 0
}

// delimiter returns the separator that the header row uses most.
func delimiter(b []byte) rune {
	header, _, _ := bytes.Cut(b, []byte("\n"))
	best, most := ',', 0
	for _, c := range []rune{',', ';', '\t'} {
		if n := strings.Count(string(header), string(c)); n > most {
			best, most = c, n
		}
	}
	return best
}

func refusal(errs []error) error {
	return fmt.Errorf("%w:\n%w", ErrSheet, errors.Join(errs...))
}

type sheetParser struct {
	decimalComma bool
	header       []string
	errs         []error
	seen         map[string]int
	regions      map[string]bool
	number       int64
	numbered     int
	items        []*schema.Item
	rows         []*row
}

func (p *sheetParser) readAll(reader *csv.Reader) error {
	for {
		cells, err := reader.Read()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		line, _ := reader.FieldPos(0)
		if p.header == nil {
			p.readHeader(cells)
			if len(p.errs) > 0 {
				return nil
			}
			continue
		}
		p.readRow(line, cells)
	}
}

func (p *sheetParser) readHeader(cells []string) {
	for len(cells) > 0 && strings.TrimSpace(cells[len(cells)-1]) == "" {
		cells = cells[:len(cells)-1]
	}
	for _, c := range cells {
		name := strings.ToLower(strings.TrimSpace(c))
		switch {
		case !slices.Contains(columns, name):
			p.fail(1, name, "unknown column")
		case slices.Contains(p.header, name):
			p.fail(1, name, "column stands twice")
		}
		p.header = append(p.header, name)
	}
	for _, c := range columns {
		if !slices.Contains(p.header, c) {
			p.fail(1, c, "column is missing")
		}
	}
}

func (p *sheetParser) fail(row int, column, format string, args ...any) {
	p.errs = append(p.errs, &RowError{Row: row, Column: column, Reason: fmt.Sprintf(format, args...)})
}

func (p *sheetParser) readRow(line int, cells []string) {
	r := &row{p: p, line: line, cells: map[string]string{}}
	blank := true
	for i, c := range cells {
		c = strings.TrimSpace(c)
		if c == "" {
			continue
		}
		blank = false
		if i >= len(p.header) {
			p.fail(line, fmt.Sprintf("%d", i+1), "cell lies beyond the last column")
			continue
		}
		r.cells[p.header[i]] = c
	}
	if blank {
		return
	}
	kind := r.cells["kind"]
	fill, ok := allowed[kind]
	if !ok {
		p.fail(line, "kind", "%q is not one of sheet, customer, model, route", kind)
		return
	}
	for _, c := range p.header {
		if r.cells[c] != "" && c != "kind" && c != "name" && !slices.Contains(fill, c) {
			p.fail(line, c, "a %s row leaves it empty", kind)
		}
	}
	p.addItem(kind, r)
}

func (p *sheetParser) addItem(kind string, r *row) {
	var it *schema.Item
	switch kind {
	case "sheet":
		p.number = r.whole("name", 1)
		p.numbered++
		if p.numbered > 1 {
			p.fail(r.line, "name", "the sheet's number stands twice")
		}
		return
	case "customer":
		it = r.customer()
	case "model":
		it = r.model()
	case "route":
		it = r.route()
	}
	if first, ok := p.seen[it.Path]; ok {
		p.fail(r.line, "name", "stands in row %d already", first)
		return
	}
	p.seen[it.Path] = r.line
	p.items = append(p.items, it)
	p.rows = append(p.rows, r)
}

// finish checks what only the whole sheet shows.
func (p *sheetParser) finish() (*Sheet, error) {
	if p.header == nil {
		p.fail(1, "-", "the sheet is empty")
	} else if p.numbered == 0 && len(p.errs) == 0 {
		p.fail(1, "name", "no sheet row gives the sheet's number")
	}
	p.checkHomes()
	if len(p.errs) > 0 {
		return nil, refusal(p.errs)
	}
	slices.SortFunc(p.items, func(a, b *schema.Item) int { return strings.Compare(a.Path, b.Path) })
	return &Sheet{Number: p.number, Items: p.items}, nil
}

// checkHomes requires that a home is a region in which some model is served, so that a
// misspelt home does not turn every request away.
func (p *sheetParser) checkHomes() {
	p.regions = map[string]bool{}
	for _, it := range p.items {
		if m := it.GetModel(); m != nil {
			p.regions[m.Region] = true
		}
	}
	for i, it := range p.items {
		home := it.GetCustomer().GetHome() + it.GetRoute().GetHome()
		if home != "" && len(p.regions) > 0 && !p.regions[home] {
			p.fail(p.rows[i].line, "home", "no model row names the region %q", home)
		}
	}
}
