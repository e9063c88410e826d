package command

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestSettingsErrorsNameTheField requires that each bad setting is refused with its field.
func TestSettingsErrorsNameTheField(t *testing.T) {
	for name, c := range map[string]struct {
		yaml string
		want []string
	}{
		"unknown field":  {"name: a\ncolour: blue\n", []string{"colour"}},
		"wrong type":     {"name: [a]\n", []string{"name"}},
		"field twice":    {"name: a\nname: b\n", []string{"name"}},
		"all that lacks": {"name: a\nlisten: host:80\n", []string{"internal", "listen", "secret", "region", "domain", "announce", "controls"}},
		"bad operator":   {"operators: [{name: x, hash: abc}]\n", []string{"operators[0].hash"}},
		"bad log level":  {"log: loud\n", []string{"log"}},
	} {
		_, err := parseSettings([]byte(c.yaml), roleEntry)
		for _, field := range c.want {
			if err == nil || !strings.Contains(err.Error(), field) {
				t.Errorf("%s: %v does not name %s", name, err, field)
			}
		}
	}
}

// TestDemoSettingsAreValid requires that what demo-settings writes passes the check.
func TestDemoSettingsAreValid(t *testing.T) {
	folder := t.TempDir()
	if err := WriteDemo(folder, 18000); err != nil {
		t.Fatal(err)
	}
	files, err := filepath.Glob(filepath.Join(folder, "*.yaml"))
	if err != nil {
		t.Fatal(err)
	}
	roles := map[string]int{}
	for _, path := range files {
		role := roleEntry
		switch base := filepath.Base(path); {
		case base == "operator.yaml":
			continue
		case strings.HasPrefix(base, "control-"):
			role = roleControl
		}
		roles[role]++
		if _, err := ReadSettings(path, role); err != nil {
			t.Error(err)
		}
	}
	if diff := cmp.Diff(map[string]int{roleEntry: 6, roleControl: 3}, roles); diff != "" {
		t.Errorf("files by role: -want +got:\n%s", diff)
	}
	if _, err := readSheet(filepath.Join(folder, "sheet.csv")); err != nil {
		t.Error(err)
	}
	if _, err := os.Stat(filepath.Join(folder, "token")); err != nil {
		t.Error(err)
	}
}
