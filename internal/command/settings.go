package command

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strings"

	"google.golang.org/protobuf/encoding/protojson"
	"sigs.k8s.io/yaml"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// ErrInvalidSettings is wrapped by every error about a settings file, also if the file cannot
// be read.
var ErrInvalidSettings = errors.New("invalid settings")

// Roles of a process.
const (
	roleEntry   = "entry"
	roleControl = "control"
)

const minSecretBytes = 16

// ReadSettings reads a settings file and checks it for a role. The error names every invalid
// field.
func ReadSettings(path, role string) (*schema.Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidSettings, err)
	}
	s, err := parseSettings(b, role)
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrInvalidSettings, path, err)
	}
	return s, nil
}

func parseSettings(b []byte, role string) (*schema.Settings, error) {
	j, err := yaml.YAMLToJSONStrict(b)
	if err != nil {
		return nil, err
	}
	s := &schema.Settings{}
	if err := protojson.Unmarshal(j, s); err != nil {
		return nil, err
	}
	return s, errors.Join(checkSettings(s, role)...)
}

func checkSettings(s *schema.Settings, role string) []error {
	var errs []error
	requireField := func(field, value string) {
		if value == "" {
			errs = append(errs, fmt.Errorf("field %s: is empty", field))
		}
	}
	checkAddress := func(field, value string) {
		if value == "" {
			return
		}
		host, _, err := net.SplitHostPort(value)
		if err != nil || net.ParseIP(host) == nil {
			errs = append(errs, fmt.Errorf("field %s: %q is not an IP address and port", field, value))
		}
	}
	requireField("name", s.Name)
	requireField("internal", s.Internal)
	checkAddress("internal", s.Internal)
	checkAddress("listen", s.Listen)
	checkAddress("metrics", s.Metrics)
	if len(s.Secret) < minSecretBytes {
		errs = append(errs, fmt.Errorf("field secret: shorter than %d bytes", minSecretBytes))
	}
	if role == roleEntry {
		requireField("region", s.Region)
		requireField("domain", s.Domain)
		requireField("listen", s.Listen)
		requireField("announce", s.Announce)
	} else {
		requireField("data", s.Data)
	}
	if len(s.Controls) == 0 {
		errs = append(errs, errors.New("field controls: is empty"))
	}
	for i, c := range s.Controls {
		requireField(fmt.Sprintf("controls[%d].name", i), c.Name)
		requireField(fmt.Sprintf("controls[%d].address", i), c.Address)
		checkAddress(fmt.Sprintf("controls[%d].address", i), c.Address)
	}
	for i, o := range s.Operators {
		requireField(fmt.Sprintf("operators[%d].name", i), o.Name)
		if len(o.Hash) != 64 || strings.Trim(o.Hash, "0123456789abcdef") != "" {
			errs = append(errs, fmt.Errorf("field operators[%d].hash: is not a hex SHA-256", i))
		}
	}
	if !strings.Contains(" debug info warn error ", " "+s.Log+" ") && s.Log != "" {
		errs = append(errs, fmt.Errorf("field log: %q is not debug, info, warn or error", s.Log))
	}
	return errs
}
