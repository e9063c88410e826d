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

// RunLoad runs trefoilload and returns its exit status.
func RunLoad(args []string, stdout, stderr io.Writer) int {
	app := kingpin.New("trefoilload", "Sends an open-loop load and reports response times and errors as callers see them.")
	app.UsageWriter(stdout).ErrorWriter(stderr)
	hosts := app.Flag("hosts", "Entry hosts, separated by commas.").Required().String()
	model := app.Flag("model", "Model.").Default(demoModel).String()
	duration := app.Flag("duration", "Time for which requests are sent.").Default("10s").Duration()
	customersPath := app.Flag("customers", "YAML list of customers: name, key, requests (per second), tokens (per answer), rate (tokens per second), burst (tokens).").Required().ExistingFile()
	direct := app.Flag("direct", "The hosts are engines, not entry hosts.").Bool()
	output := app.Flag("output", "table or json.").Default("table").Enum("table", "json")
	if _, err := app.Parse(args); err != nil {
		return reportUsageError(stderr, app, err)
	}
	l := &loader.Loader{Hosts: strings.Split(*hosts, ","), Model: *model, Duration: *duration, ToUpstreams: *direct}
	if err := readCustomers(*customersPath, &l.Customers); err != nil {
		return reportError(stderr, app.Name, err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	results := l.Run(ctx)
	if *output == "json" {
		return reportError(stderr, app.Name, json.NewEncoder(stdout).Encode(results))
	}
	return reportError(stderr, app.Name, loader.Print(stdout, results))
}

func readCustomers(path string, customers *[]loader.Customer) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if err := yaml.UnmarshalStrict(b, customers); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if len(*customers) == 0 {
		return fmt.Errorf("%s: no customers", path)
	}
	return nil
}
