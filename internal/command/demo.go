package command

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"

	"google.golang.org/protobuf/encoding/protojson"
	"sigs.k8s.io/yaml"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

const (
	demoModel      = "parish-1"
	demoRoute      = "bookings"
	portsPerRegion = 20
	demoEntryHosts = 2
)

// DemoRegions are the regions of the demonstration system, in the order of their ports.
var DemoRegions = []string{"lothian", "clyde", "grampian"}

// demoSheet is the configuration sheet of the demonstration system, as CSV.
const demoSheet = `kind,name,region,rate,burst,weight,home,objective,replicas,price,method,prefix,repeat,open
sheet,1,,,,,,,,,,,,
customer,st-giles,,4000,20000,2,,0.52,,,,,,
customer,glasgow-choirs,,4000,20000,1,clyde,0.52,,,,,,
customer,aberdeen-halls,,2000,10000,1,,0.52,,,,,,
model,parish-1,lothian,,,,,,1,1,,,,
model,parish-1,clyde,,,,,,1,1,,,,
model,parish-1,grampian,,,,,,1,1.2,,,,
route,bookings,,,,,,,,,POST,/bookings,no,no
route,services,,,,,,,,,GET,/services,yes,yes
`

// WriteDemoSettings writes to a folder the settings files, the sheet and the tokens of a
// demonstration system on loopback addresses. It has three regions, each with two entry hosts, one
// control host, one engine and one booking service. The lowest port is port; each region has
// portsPerRegion ports.
func WriteDemoSettings(folder string, port int) error {
	if err := os.MkdirAll(folder, 0o750); err != nil {
		return err
	}
	secret, operatorToken, announceToken := randomHex(), randomHex(), randomHex()
	sum := sha256.Sum256([]byte(operatorToken))
	operators := []*schema.Operator{{Name: "morag", Hash: hex.EncodeToString(sum[:])}}
	var controls []*schema.Control
	for i, region := range DemoRegions {
		controls = append(controls, &schema.Control{Name: "control-" + region, Address: demoAddress(port, i, 4)})
	}
	for i, region := range DemoRegions {
		base := schema.Settings{Region: region, Controls: controls, Operators: operators, Secret: secret, Announce: announceToken}
		if err := writeRegionSettings(folder, &base, port, i); err != nil {
			return err
		}
	}
	if err := writeSettings(filepath.Join(folder, "operator.yaml"), &schema.Settings{Controls: controls}); err != nil {
		return err
	}
	files := map[string]string{"sheet.csv": demoSheet, "token": operatorToken, "announce": announceToken}
	for name, content := range files {
		if err := os.WriteFile(filepath.Join(folder, name), []byte(content), 0o600); err != nil {
			return err
		}
	}
	return nil
}

func writeRegionSettings(folder string, base *schema.Settings, port, regionIndex int) error {
	region := base.Region
	for k := range demoEntryHosts {
		s := copySharedSettings(base)
		s.Name = fmt.Sprintf("%s-%d", region, k+1)
		s.Domain = fmt.Sprintf("%s-%c", region, 'a'+k)
		s.Listen, s.Internal = demoAddress(port, regionIndex, 2*k), demoAddress(port, regionIndex, 2*k+1)
		s.Metrics = demoAddress(port, regionIndex, 6+k)
		if k == 0 {
			s.Data = filepath.Join(folder, s.Name)
		}
		if err := writeSettings(filepath.Join(folder, s.Name+".yaml"), s); err != nil {
			return err
		}
	}
	s := copySharedSettings(base)
	s.Name = "control-" + region
	s.Domain = region + "-a"
	s.Internal = demoAddress(port, regionIndex, 4)
	s.Metrics = demoAddress(port, regionIndex, 8)
	s.Data = filepath.Join(folder, s.Name)
	return writeSettings(filepath.Join(folder, s.Name+".yaml"), s)
}

func copySharedSettings(s *schema.Settings) *schema.Settings {
	return &schema.Settings{Region: s.Region, Controls: s.Controls, Operators: s.Operators, Secret: s.Secret, Announce: s.Announce}
}

func demoAddress(port, regionIndex, offset int) string {
	return fmt.Sprintf("127.0.0.1:%d", port+regionIndex*portsPerRegion+offset)
}

func writeSettings(path string, s *schema.Settings) error {
	j, err := protojson.Marshal(s)
	if err != nil {
		return err
	}
	b, err := yaml.JSONToYAML(j)
	if err != nil {
		return err
	}
	return os.WriteFile(path, b, 0o600)
}

func randomHex() string {
	b := make([]byte, 24)
	_, _ = rand.Read(b) // never returns an error: the process is aborted instead
	return hex.EncodeToString(b)
}
