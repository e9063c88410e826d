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

// ErrSettings is what every refusal of settings wraps.
var ErrSettings = errors.New("settings refused")

// The roles that settings may be for.
const (
	roleEntry   = "entry"
	roleControl = "control"
)

const shortestSecret = 16

// ReadSettings reads and checks a settings file for a role. The error names each bad field.
func ReadSettings(path, role string) (*schema.Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrSettings, err)
	}
	s, err := parseSettings(b, role)
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrSettings, path, err)
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
	need := func(field, value string) {
		if value == "" {
			errs = append(errs, fmt.Errorf("field %s: is empty", field))
		}
	}
	address := func(field, value string) {
		if value == "" {
			return
		}
		host, _, err := net.SplitHostPort(value)
		if err != nil || net.ParseIP(host) == nil {
			errs = append(errs, fmt.Errorf("field %s: %q is not an IP address and port", field, value))
		}
	}
	need("name", s.Name)
	need("internal", s.Internal)
	address("internal", s.Internal)
	address("listen", s.Listen)
	address("metrics", s.Metrics)
	if len(s.Secret) < shortestSecret {
		errs = append(errs, fmt.Errorf("field secret: shorter than %d bytes", shortestSecret))
	}
	if role == roleEntry {
		need("region", s.Region)
		need("domain", s.Domain)
		need("listen", s.Listen)
		need("announce", s.Announce)
	} else {
		need("data", s.Data)
	}
	if len(s.Controls) == 0 {
		errs = append(errs, errors.New("field controls: is empty"))
	}
	for i, c := range s.Controls {
		need(fmt.Sprintf("controls[%d].name", i), c.Name)
		need(fmt.Sprintf("controls[%d].address", i), c.Address)
		address(fmt.Sprintf("controls[%d].address", i), c.Address)
	}
	for i, o := range s.Operators {
		need(fmt.Sprintf("operators[%d].name", i), o.Name)
		if len(o.Hash) != 64 || strings.Trim(o.Hash, "0123456789abcdef") != "" {
			errs = append(errs, fmt.Errorf("field operators[%d].hash: is not a hex SHA-256", i))
		}
	}
	if !strings.Contains(" debug info warn error ", " "+s.Log+" ") && s.Log != "" {
		errs = append(errs, fmt.Errorf("field log: %q is not debug, info, warn or error", s.Log))
	}
	return errs
}
