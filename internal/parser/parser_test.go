package parser

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var update = flag.Bool("update", false, "write golden files")

// parseAndExport returns the sheet as exported after parsing, or else the text of the error.
func parseAndExport(b []byte) string {
	s, err := Parse(bytes.NewReader(b))
	if err != nil {
		return err.Error() + "\n"
	}
	var out bytes.Buffer
	if err := Export(&out, s); err != nil {
		return err.Error() + "\n"
	}
	return out.String()
}

// TestParseGolden parses each testdata/*.csv and compares the exported sheet, or the error, with
// the golden file beside it.
func TestParseGolden(t *testing.T) {
	files, err := filepath.Glob("testdata/*.csv")
	if err != nil || len(files) == 0 {
		t.Fatalf("no testdata/*.csv: %v", err)
	}
	for _, path := range files {
		t.Run(filepath.Base(path), func(t *testing.T) {
			b, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			// The files spell these bytes out to remain readable.
			b = []byte(strings.NewReplacer("<BOM>", "\xef\xbb\xbf", "<CR>", "\r", "<LATIN1>", "\xe9", "<TAB>", "\t").Replace(string(b)))
			got := parseAndExport(b)
			golden := strings.TrimSuffix(path, ".csv") + ".golden"
			if *update {
				if err := os.WriteFile(golden, []byte(got), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			want, err := os.ReadFile(golden)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(string(want), got); diff != "" {
				t.Errorf("parsed sheet differs from its golden file: -want +got:\n%s", diff)
			}
		})
	}
}

// FuzzParse requires that an accepted sheet has the same number and hash after it is exported and
// parsed again.
func FuzzParse(f *testing.F) {
	files, _ := filepath.Glob("testdata/*.csv")
	for _, path := range files {
		if b, err := os.ReadFile(path); err == nil {
			f.Add(b)
		}
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		s, err := Parse(bytes.NewReader(b))
		if err != nil {
			return
		}
		var out bytes.Buffer
		if err := Export(&out, s); err != nil {
			t.Fatal(err)
		}
		reparsed, err := Parse(bytes.NewReader(out.Bytes()))
		if err != nil {
			t.Fatalf("Parse rejects the exported sheet: %v\n%s", err, out.String())
		}
		if reparsed.Hash() != s.Hash() || reparsed.Number != s.Number {
			t.Fatalf("number or hash changed after export and parsing:\n%s", out.String())
		}
	})
}
