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

// RunFake runs trefoilfake, a fake upstream, and returns its exit status.
func RunFake(args []string, stdout, stderr io.Writer) int {
	app := kingpin.New("trefoilfake", "Runs a fake upstream for tests and demonstrations.")
	app.UsageWriter(stdout).ErrorWriter(stderr)
	name := app.Flag("name", "Name.").Required().String()
	region := app.Flag("region", "Region.").Required().String()
	listen := app.Flag("listen", "IP address and port to listen on.").Required().String()
	hosts := app.Flag("hosts", "Entry hosts of the region, separated by commas.").Required().String()
	tokenPath := app.Flag("announce", "File that holds the announce token.").Required().ExistingFile()
	engine := app.Command("engine", "A model engine.")
	models := engine.Flag("models", "Models, separated by commas.").Default(demoModel).String()
	slots := engine.Flag("slots", "Maximum number of concurrent requests.").Default("16").Int()
	prefill := engine.Flag("prefill", "Time to the first token of a prompt that is not cached.").Default("80ms").Duration()
	gap := engine.Flag("gap", "Time between tokens.").Default("15ms").Duration()
	booking := app.Command("booking", "A booking service.")
	routes := booking.Flag("routes", "Routes, separated by commas.").Default(demoRoute).String()
	delay := booking.Flag("delay", "Time that a booking takes.").Default("20ms").Duration()
	selected, err := app.Parse(args)
	if err != nil {
		return reportUsageError(stderr, app, err)
	}
	var upstream faker.Upstream
	switch selected {
	case engine.FullCommand():
		upstream = &faker.Engine{
			Name: *name, Region: *region, Address: *listen, Models: strings.Split(*models, ","),
			Slots: *slots, FirstTokenDelay: *prefill, CachedFirstTokenDelay: *prefill / 4, TokenInterval: *gap,
		}
	case booking.FullCommand():
		upstream = &faker.Booking{Name: *name, Region: *region, Address: *listen, Routes: strings.Split(*routes, ","), Delay: *delay}
	}
	token, err := os.ReadFile(*tokenPath)
	if err != nil {
		return reportError(stderr, app.Name, err)
	}
	return reportError(stderr, app.Name, serveFake(upstream, *listen, strings.Split(*hosts, ","), strings.TrimSpace(string(token))))
}

func serveFake(upstream faker.Upstream, listen string, hosts []string, token string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	h := &http.Server{Addr: listen, Handler: upstream, ReadHeaderTimeout: time.Second}
	a := &faker.Announcer{Upstream: upstream, Hosts: hosts, Token: token, Incarnation: uint64(time.Now().UnixNano())}
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
