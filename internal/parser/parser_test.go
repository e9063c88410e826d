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

// describe writes what a sheet parses to, or why it is refused.
func describe(b []byte) string {
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

// TestParseGolden parses each testdata/*.csv and compares with the golden file beside it.
func TestParseGolden(t *testing.T) {
	files, err := filepath.Glob("testdata/*.csv")
	if err != nil || len(files) == 0 {
		t.Fatalf("no sheets: %v", err)
	}
	for _, path := range files {
		t.Run(filepath.Base(path), func(t *testing.T) {
			b, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			// Spelt out in the files so that they stay readable.
			b = []byte(strings.NewReplacer("<BOM>", "\xef\xbb\xbf", "<CR>", "\r", "<LATIN1>", "\xe9", "<TAB>", "\t").Replace(string(b)))
			got := describe(b)
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
				t.Errorf("-want +got:\n%s", diff)
			}
		})
	}
}

// FuzzParse requires that a sheet that is accepted survives export and parsing unchanged.
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
		again, err := Parse(bytes.NewReader(out.Bytes()))
		if err != nil {
			t.Fatalf("exported sheet is refused: %v\n%s", err, out.String())
		}
		if again.Hash() != s.Hash() || again.Number != s.Number {
			t.Fatalf("round trip changed the sheet:\n%s", out.String())
		}
	})
}
