package command

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/oklog/run"

	"github.com/trefoilloft/trefoilloft/internal/faker"
)

// Fake runs trefoilfake, the stand-ins for upstreams, and returns its exit status.
func Fake(args []string, stdout, stderr io.Writer) int {
	app := kingpin.New("trefoilfake", "Stand-ins for upstreams.")
	app.UsageWriter(stdout).ErrorWriter(stderr)
	name := app.Flag("name", "Name.").Required().String()
	region := app.Flag("region", "Region.").Required().String()
	listen := app.Flag("listen", "IP and port.").Required().String()
	hosts := app.Flag("hosts", "Entry hosts of the region, separated by commas.").Required().String()
	token := app.Flag("announce", "File that holds the announce token.").Required().ExistingFile()
	engine := app.Command("engine", "A model engine.")
	models := engine.Flag("models", "Models, separated by commas.").Default(demoModel).String()
	slots := engine.Flag("slots", "Requests at once.").Default("16").Int()
	prefill := engine.Flag("prefill", "Time to the first token.").Default("80ms").Duration()
	gap := engine.Flag("gap", "Time between tokens.").Default("15ms").Duration()
	booking := app.Command("booking", "A booking service.")
	routes := booking.Flag("routes", "Routes, separated by commas.").Default(demoRoute).String()
	delay := booking.Flag("delay", "Time of a booking.").Default("20ms").Duration()
	selected, err := app.Parse(args)
	if err != nil {
		return usage(stderr, app, err)
	}
	var up faker.Upstream
	switch selected {
	case engine.FullCommand():
		up = &faker.Engine{
			Name: *name, Region: *region, Address: *listen, Models: strings.Split(*models, ","),
			Slots: *slots, Prefill: *prefill, Cached: *prefill / 4, Gap: *gap,
		}
	case booking.FullCommand():
		up = &faker.Booking{Name: *name, Region: *region, Address: *listen, Routes: strings.Split(*routes, ","), Delay: *delay}
	}
	secret, err := os.ReadFile(*token)
	if err != nil {
		return report(stderr, app.Name, err)
	}
	return report(stderr, app.Name, runFake(up, *listen, strings.Split(*hosts, ","), strings.TrimSpace(string(secret))))
}

func runFake(up faker.Upstream, listen string, hosts []string, token string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	h := &http.Server{Addr: listen, Handler: up, ReadHeaderTimeout: time.Second}
	a := &faker.Announcer{Upstream: up, Hosts: hosts, Token: token, Incarnation: uint64(time.Now().UnixNano())}
	var g run.Group
	g.Add(func() error { return a.Run(ctx) }, func(error) { stop() })
	g.Add(func() error {
		if err := h.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	}, func(error) { _ = h.Close() })
	return g.Run()
}
