package test

import (
	"flag"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var update = flag.Bool("update", false, "rewrite the golden file of the fault matrix")

const proofGolden = "testdata/proof.golden"

// TestProofMatrix guards against a fault matrix in docs/PROOF.md that claims more than the
// tests show: every cell must name tests that exist, give a reason or read "not proved", and
// a cell changes only together with the golden file.
func TestProofMatrix(t *testing.T) {
	page, err := os.ReadFile("../docs/PROOF.md")
	if err != nil {
		t.Fatal(err)
	}
	testByShortName := map[string]string{}
	for _, m := range regexp.MustCompile("`([A-Za-z]+)`\\s+(Test[A-Za-z]+)").FindAllStringSubmatch(string(page), -1) {
		testByShortName[m[1]] = m[2]
	}
	testExists := testNames(t)
	var golden strings.Builder
	for fault, cells := range matrixCells(string(page), t) {
		for promise, cell := range cells {
			checkCell(t, fault+"/"+promise, cell, testByShortName, testExists)
		}
	}
	for _, line := range matrixRows(string(page)) {
		golden.WriteString(line + "\n")
	}
	if *update {
		if err := os.WriteFile(proofGolden, []byte(golden.String()), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(proofGolden)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), golden.String()); diff != "" {
		t.Errorf("the fault matrix differs from its golden file; review it, then run with -update (-want +got):\n%s", diff)
	}
}

func checkCell(t *testing.T, name, cell string, testByShortName map[string]string, testExists map[string]bool) {
	t.Helper()
	if cell == "not proved" || strings.HasPrefix(cell, "none: ") {
		return
	}
	for _, shortName := range strings.Split(cell, ", ") {
		if full := testByShortName[shortName]; full == "" || !testExists[full] {
			t.Errorf("%s: %q is not the short name of an existing test", name, shortName)
		}
	}
}

// matrixRows returns the table lines of the page that hold the matrix, its header first.
func matrixRows(page string) []string {
	var out []string
	for _, line := range strings.Split(page, "\n") {
		if strings.HasPrefix(line, "| ") {
			out = append(out, line)
		}
	}
	return out
}

// matrixCells returns the cells of the matrix by fault and promise.
func matrixCells(page string, t *testing.T) map[string]map[string]string {
	t.Helper()
	lines := matrixRows(page)
	header := splitRow(lines[0])
	out := map[string]map[string]string{}
	for _, line := range lines[1:] {
		cells := splitRow(line)
		if len(cells) != len(header) {
			t.Fatalf("row %q has %d cells, want %d", cells[0], len(cells), len(header))
		}
		out[cells[0]] = map[string]string{}
		for i := 1; i < len(cells); i++ {
			out[cells[0]][header[i]] = cells[i]
		}
	}
	return out
}

func splitRow(line string) []string {
	var cells []string
	for _, c := range strings.Split(strings.Trim(line, "|"), "|") {
		cells = append(cells, strings.TrimSpace(c))
	}
	return cells
}

// testNames returns the names of all tests of the module.
func testNames(t *testing.T) map[string]bool {
	t.Helper()
	names := map[string]bool{}
	testDeclaration := regexp.MustCompile(`(?m)^func (Test[A-Za-z]+)\(`)
	err := filepath.WalkDir("..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		b, err := os.ReadFile(path)
		for _, m := range testDeclaration.FindAllStringSubmatch(string(b), -1) {
			names[m[1]] = true
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return names
}
