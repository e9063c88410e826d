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

// Largest sheet that Parse accepts.
const maxSheetBytes = 64 << 20

// ErrInvalidSheet is wrapped by every error of Parse.
var ErrInvalidSheet = errors.New("invalid sheet")

// Columns of a sheet, in the order that Export writes.
var columns = []string{
	"kind", "name", "region", "rate", "burst", "weight", "home", "objective",
	"replicas", "price", "method", "prefix", "repeat", "open",
}

// Columns that a row of each kind may fill, besides kind and name.
var columnsOfKind = map[string][]string{
	"sheet":    {},
	"customer": {"rate", "burst", "weight", "home", "objective"},
	"model":    {"region", "replicas", "price"},
	"route":    {"method", "prefix", "repeat", "open", "home"},
}

// RowError is an error in one cell of a sheet.
type RowError struct {
	// Row is the line of the file in which the row begins; the header row is in line 1.
	Row int
	// Column is the column's name; the column's number, counted from 1, if it has no name; "-" if
	// the error is not about one column.
	Column string
	Reason string
}

// Error returns the row, the column and the reason.
func (e *RowError) Error() string {
	return fmt.Sprintf("row %d, column %s: %s", e.Row, e.Column, e.Reason)
}

// Sheet is the content of a file.
type Sheet struct {
	// Number orders sheets: a newer one has a higher number.
	Number int64
	// Items are sorted by path.
	Items []*schema.Item
}

// Hash returns the hex SHA-256 of the items. It does not depend on the number, the order of rows
// and columns, or the delimiter.
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

// Parse reads a sheet. The error wraps ErrInvalidSheet, and joins a *RowError for every bad cell.
func Parse(r io.Reader) (*Sheet, error) {
	b, err := io.ReadAll(io.LimitReader(r, maxSheetBytes+1))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidSheet, err)
	}
	if len(b) > maxSheetBytes {
		return nil, fmt.Errorf("%w: larger than %d bytes", ErrInvalidSheet, maxSheetBytes)
	}
	b = bytes.TrimPrefix(b, []byte("\xef\xbb\xbf"))
	if row := invalidUTF8Row(b); row > 0 {
		return nil, sheetError([]error{&RowError{Row: row, Column: "-", Reason: "not valid UTF-8, or contains a NUL byte"}})
	}
	comma := delimiter(b)
	reader := csv.NewReader(bytes.NewReader(b))
	reader.Comma = comma
	reader.FieldsPerRecord = -1
	p := &sheetParser{decimalComma: comma != ',', rowByPath: map[string]int{}}
	if err := p.readAll(reader); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidSheet, err)
	}
	return p.checkSheet()
}

// invalidUTF8Row returns the number of the first line that is not valid UTF-8 or that contains a
// NUL byte, or 0 if there is none.
func invalidUTF8Row(b []byte) int {
	for i, line := range bytes.Split(b, []byte("\n")) {
		if !utf8.Valid(line) || bytes.IndexByte(line, 0) >= 0 {
			return i + 1
		}
	}
	return 0
}

// delimiter returns whichever of comma, semicolon and tab is most frequent in the header row.
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

func sheetError(errs []error) error {
	return fmt.Errorf("%w:\n%w", ErrInvalidSheet, errors.Join(errs...))
}

type sheetParser struct {
	// decimalComma says that numbers may have a decimal comma, since the delimiter is not a comma.
	decimalComma bool
	header       []string
	errs         []error
	rowByPath    map[string]int // row that defines each item
	modelRegions map[string]bool
	sheetNumber  int64
	sheetRows    int // number of rows of kind sheet
	items        []*schema.Item
	rows         []*row // in the order of items, until they are sorted
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
			p.addError(1, name, "unknown column")
		case slices.Contains(p.header, name):
			p.addError(1, name, "duplicate column")
		}
		p.header = append(p.header, name)
	}
	for _, c := range columns {
		if !slices.Contains(p.header, c) {
			p.addError(1, c, "column is missing")
		}
	}
}

func (p *sheetParser) addError(row int, column, format string, args ...any) {
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
			p.addError(line, fmt.Sprintf("%d", i+1), "cell is beyond the last column")
			continue
		}
		r.cells[p.header[i]] = c
	}
	if blank {
		return
	}
	kind := r.cells["kind"]
	allowedColumns, ok := columnsOfKind[kind]
	if !ok {
		p.addError(line, "kind", "%q is not one of sheet, customer, model, route", kind)
		return
	}
	for _, c := range p.header {
		if r.cells[c] != "" && c != "kind" && c != "name" && !slices.Contains(allowedColumns, c) {
			p.addError(line, c, "must be empty in a %s row", kind)
		}
	}
	p.addItem(kind, r)
}

func (p *sheetParser) addItem(kind string, r *row) {
	var it *schema.Item
	switch kind {
	case "sheet":
		p.sheetNumber = r.wholeNumber("name", 1)
		p.sheetRows++
		if p.sheetRows > 1 {
			p.addError(r.line, "name", "a second row gives the sheet's number")
		}
		return
	case "customer":
		it = r.customer()
	case "model":
		it = r.model()
	case "route":
		it = r.route()
	}
	if first, ok := p.rowByPath[it.Path]; ok {
		p.addError(r.line, "name", "is already defined in row %d", first)
		return
	}
	p.rowByPath[it.Path] = r.line
	p.items = append(p.items, it)
	p.rows = append(p.rows, r)
}

// checkSheet makes the checks that need all rows, and returns the sheet.
func (p *sheetParser) checkSheet() (*Sheet, error) {
	if p.header == nil {
		p.addError(1, "-", "the sheet is empty")
	} else if p.sheetRows == 0 && len(p.errs) == 0 {
		p.addError(1, "name", "there is no sheet row with the sheet's number")
	}
	p.checkHomes()
	if len(p.errs) > 0 {
		return nil, sheetError(p.errs)
	}
	slices.SortFunc(p.items, func(a, b *schema.Item) int { return strings.Compare(a.Path, b.Path) })
	return &Sheet{Number: p.sheetNumber, Items: p.items}, nil
}

// checkHomes requires that each home is a region in which some model is served: with a misspelt
// home, every request would be rejected. A sheet without models is not checked.
func (p *sheetParser) checkHomes() {
	p.modelRegions = map[string]bool{}
	for _, it := range p.items {
		if m := it.GetModel(); m != nil {
			p.modelRegions[m.Region] = true
		}
	}
	for i, it := range p.items {
		home := it.GetCustomer().GetHome() + it.GetRoute().GetHome()
		if home != "" && len(p.modelRegions) > 0 && !p.modelRegions[home] {
			p.addError(p.rows[i].line, "home", "no model row names the region %q", home)
		}
	}
}
