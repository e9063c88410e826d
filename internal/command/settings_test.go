package command

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestSettingsErrorsNameTheField guards against invalid settings being accepted, and against
// errors that do not say which field is invalid.
func TestSettingsErrorsNameTheField(t *testing.T) {
	for name, c := range map[string]struct {
		yaml string
		want []string
	}{
		"unknown field":  {"name: a\ncolour: blue\n", []string{"colour"}},
		"wrong type":     {"name: [a]\n", []string{"name"}},
		"field twice":    {"name: a\nname: b\n", []string{"name"}},
		"missing fields": {"name: a\nlisten: host:80\n", []string{"internal", "listen", "secret", "region", "domain", "announce", "controls"}},
		"bad operator":   {"operators: [{name: x, hash: abc}]\n", []string{"operators[0].hash"}},
		"bad log level":  {"log: loud\n", []string{"log"}},
	} {
		_, err := parseSettings([]byte(c.yaml), roleEntry)
		for _, field := range c.want {
			if err == nil || !strings.Contains(err.Error(), field) {
				t.Errorf("%s: error %v does not name field %s", name, err, field)
			}
		}
	}
}

// TestDemoSettingsAreValid guards against demo-settings writing a settings file that its role
// rejects, a sheet that cannot be parsed, or no token.
func TestDemoSettingsAreValid(t *testing.T) {
	folder := t.TempDir()
	if err := WriteDemoSettings(folder, 18000); err != nil {
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
		t.Errorf("number of settings files by role (-want +got):\n%s", diff)
	}
	if _, err := readSheet(filepath.Join(folder, "sheet.csv")); err != nil {
		t.Error(err)
	}
	if _, err := os.Stat(filepath.Join(folder, "token")); err != nil {
		t.Error(err)
	}
}
