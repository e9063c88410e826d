package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"sigs.k8s.io/yaml"

	"github.com/trefoilloft/trefoilloft/internal/loader"
)

// Load runs trefoilload and returns its exit status.
func Load(args []string, stdout, stderr io.Writer) int {
	app := kingpin.New("trefoilload", "Sends an open load and reports what callers see.")
	app.UsageWriter(stdout).ErrorWriter(stderr)
	hosts := app.Flag("hosts", "Entry hosts, separated by commas.").Required().String()
	model := app.Flag("model", "Model.").Default(demoModel).String()
	duration := app.Flag("duration", "How long to send.").Default("10s").Duration()
	file := app.Flag("customers", "YAML list: name, key, requests (a second), tokens, rate, burst.").Required().ExistingFile()
	direct := app.Flag("direct", "The hosts are engines, not entry hosts.").Bool()
	output := app.Flag("output", "table or json.").Default("table").Enum("table", "json")
	if _, err := app.Parse(args); err != nil {
		return usage(stderr, app, err)
	}
	l := &loader.Loader{Hosts: strings.Split(*hosts, ","), Model: *model, Duration: *duration, Direct: *direct}
	if err := readCustomers(*file, &l.Customers); err != nil {
		return report(stderr, app.Name, err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	results := l.Run(ctx)
	if *output == "json" {
		return report(stderr, app.Name, json.NewEncoder(stdout).Encode(results))
	}
	return report(stderr, app.Name, loader.Print(stdout, results))
}

func readCustomers(path string, to *[]loader.Customer) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if err := yaml.UnmarshalStrict(b, to); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if len(*to) == 0 {
		return fmt.Errorf("%s: no customers", path)
	}
	return nil
}
