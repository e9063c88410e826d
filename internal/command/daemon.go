package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/oklog/run"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rs/zerolog"

	"github.com/trefoilloft/trefoilloft/internal/accepter"
	"github.com/trefoilloft/trefoilloft/internal/confiner"
	"github.com/trefoilloft/trefoilloft/internal/controller"
	"github.com/trefoilloft/trefoilloft/internal/dialer"
	"github.com/trefoilloft/trefoilloft/internal/distributor"
	"github.com/trefoilloft/trefoilloft/internal/expirer"
	"github.com/trefoilloft/trefoilloft/internal/injector"
	"github.com/trefoilloft/trefoilloft/internal/persister"
	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/server"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

// Exit statuses of the programs.
const (
	exitOK      = 0
	exitFailed  = 1
	exitUsage   = 2
	exitUnknown = 3
)

// RunDaemon runs trefoild and returns its exit status.
func RunDaemon(args []string, stdout, stderr io.Writer) int {
	app := kingpin.New("trefoild", "Runs an entry host or a control host.")
	app.UsageWriter(stdout).ErrorWriter(stderr)
	entry := app.Command("entry", "Run an entry host, which serves callers.")
	entryFile := entry.Flag("settings", "Settings file.").Required().String()
	entryCheck := entry.Flag("check", "Check the settings and exit.").Bool()
	control := app.Command("control", "Run a control host.")
	controlFile := control.Flag("settings", "Settings file.").Required().String()
	controlCheck := control.Flag("check", "Check the settings and exit.").Bool()
	initialize := app.Command("init", "Initialize a control host's data folder.")
	initFile := initialize.Flag("settings", "Settings file.").Required().String()
	initJoin := initialize.Flag("join", "Give the host a new identity, with which it can be added to a running system.").Bool()
	demoSettings := app.Command("demo-settings", "Write the settings of a three-region system on loopback.")
	demoFolder := demoSettings.Flag("folder", "Folder to write to.").Required().String()
	demoPort := demoSettings.Flag("port", "Lowest port to use.").Default("18000").Int()
	selected, err := app.Parse(args)
	if err != nil {
		return reportUsageError(stderr, app, err)
	}
	switch selected {
	case entry.FullCommand():
		err = runRole(*entryFile, roleEntry, *entryCheck, stdout, stderr)
	case control.FullCommand():
		err = runRole(*controlFile, roleControl, *controlCheck, stdout, stderr)
	case initialize.FullCommand():
		err = initControl(*initFile, *initJoin, stdout)
	case demoSettings.FullCommand():
		err = WriteDemoSettings(*demoFolder, *demoPort)
	}
	return reportError(stderr, app.Name, err)
}

// reportUsageError prints that the command line is invalid and returns the exit status for it. If
// help is requested, kingpin prints it and exits before this function is called.
func reportUsageError(stderr io.Writer, app *kingpin.Application, err error) int {
	fmt.Fprintf(stderr, "%s: %v, try --help\n", app.Name, err)
	return exitUsage
}

func reportError(stderr io.Writer, name string, err error) int {
	if err == nil {
		return exitOK
	}
	fmt.Fprintf(stderr, "%s: %v\n", name, err)
	return exitFailed
}

func runRole(file, role string, checkOnly bool, stdout, stderr io.Writer) error {
	settings, err := ReadSettings(file, role)
	if err != nil {
		return err
	}
	if checkOnly {
		fmt.Fprintf(stdout, "%s: settings are valid for role %s\n", file, role)
		return nil
	}
	log := newLogger(settings, stderr)
	if role == roleEntry {
		return runEntry(settings, log)
	}
	return runControl(settings, log)
}

func newLogger(s *schema.Settings, w io.Writer) zerolog.Logger {
	level, err := zerolog.ParseLevel(s.Log)
	if err != nil || s.Log == "" {
		level = zerolog.InfoLevel
	}
	return zerolog.New(w).Level(level).With().Timestamp().Str("host", s.Name).Logger()
}

func initControl(file string, join bool, stdout io.Writer) error {
	s, err := ReadSettings(file, roleControl)
	if err != nil {
		return err
	}
	identity := &schema.Identity{Id: persister.NewID(), Name: s.Name}
	if !join {
		identity.Id = persister.InitialID(s.Name)
		for _, c := range s.Controls {
			identity.Members = append(identity.Members, &schema.Member{
				Id: persister.InitialID(c.Name), Name: c.Name, Address: c.Address, Voter: true,
			})
		}
	}
	if err := persister.Init(controlFolder(s), identity); err != nil {
		return err
	}
	fmt.Fprintf(stdout, "%s: identity %d\n", s.Name, identity.Id)
	return nil
}

func controlFolder(s *schema.Settings) string { return filepath.Join(s.Data, "control") }

// newClock returns the source of time of the process. A panic of one of its calls ends that call only.
func newClock(log zerolog.Logger) *timer.Service {
	return &timer.Service{Confine: func(call func()) { confiner.Call(log, "timer", call) }}
}

// runEntry runs an entry host until SIGTERM or SIGINT.
func runEntry(settings *schema.Settings, log zerolog.Logger) error {
	clock := newClock(log)
	dial := &dialer.Dialer{Secret: settings.Secret, MutualTLS: settings.Mutual, Timer: clock}
	defer dial.Close()
	gate := newGate(clock, log)
	s := &server.Server{Settings: settings, Timer: clock, Dialer: dial, Gate: gate, Log: log, FaultPoints: injector.FromEnvironment()}
	return runUntilSignal(settings, clock, gate, s.Run, s.Collectors)
}

// runControl runs a control host until SIGTERM or SIGINT.
func runControl(settings *schema.Settings, log zerolog.Logger) error {
	clock := newClock(log)
	dial := &dialer.Dialer{Secret: settings.Secret, MutualTLS: settings.Mutual, Timer: clock}
	defer dial.Close()
	c := &controller.Controller{
		Settings: settings, Timer: clock, Dialer: dial, Log: log,
		Store:       &persister.Store{Folder: controlFolder(settings), FaultPoints: injector.FromEnvironment()},
		Distributor: &distributor.Distributor{Timer: clock, IsRoot: true},
	}
	if err := c.Open(); err != nil {
		return err
	}
	gate := newGate(clock, log)
	return runUntilSignal(settings, clock, gate, func(ctx context.Context) error { return serveControl(ctx, settings, gate, c) }, c.Collectors)
}

func serveControl(ctx context.Context, settings *schema.Settings, gate *accepter.Gate, c *controller.Controller) error {
	l, err := net.Listen("tcp", settings.Internal)
	if err != nil {
		return fmt.Errorf("control: internal listener: %w", err)
	}
	isOperator := func(token string) bool {
		_, ok := controller.OperatorName(settings, token)
		return ok
	}
	internalServer, err := dialer.NewOperatorServer(settings.Secret, settings.Mutual, controller.AcceptsOperatorToken, isOperator, c.Log)
	if err != nil {
		return errors.Join(err, l.Close())
	}
	schema.RegisterControlServiceServer(internalServer, &controller.Service{Controller: c})
	var g run.Group
	bounded := &accepter.Listener{Listener: l, Gate: gate, Name: "internal", Peers: true}
	g.Add(func() error { return internalServer.Serve(bounded) }, func(error) { internalServer.Stop() })
	controllerCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	g.Add(func() error { return c.Run(controllerCtx) }, func(error) { cancel() })
	ended := make(chan struct{})
	g.Add(func() error {
		select {
		case <-ctx.Done():
			// Operators get the results of their commands; those that arrive now go to another host.
			c.Drain(commandStopTimeout)
		case <-ended:
		}
		return nil
	}, func(error) { close(ended) })
	return g.Run()
}

// commandStopTimeout is the time that commands in progress have when a control host stops.
const commandStopTimeout = time.Second

// runUntilSignal runs the timer, the metrics listener and serve, and stops all of them when one
// returns. SIGTERM or SIGINT cancels the context of serve, so that the others run until serve
// has shut down.
func runUntilSignal(settings *schema.Settings, clock *timer.Service, gate *accepter.Gate, serve func(context.Context) error, listCollectors func() []prometheus.Collector) error {
	var g run.Group
	background, stop := context.WithCancel(context.Background())
	g.Add(func() error { return clock.Run(background) }, func(error) { stop() })
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	g.Add(func() error { return serve(ctx) }, func(error) { cancel() })
	if settings.Metrics != "" {
		l, err := net.Listen("tcp", settings.Metrics)
		if err != nil {
			stop()
			return fmt.Errorf("metrics listener: %w", err)
		}
		h := newMetricsServer(func() []prometheus.Collector { return append(listCollectors(), gate.Collectors()...) })
		g.Add(func() error {
			if err := h.Serve(&accepter.Listener{Listener: l, Gate: gate, Name: "metrics"}); !errors.Is(err, http.ErrServerClosed) {
				return fmt.Errorf("metrics listener: %w", err)
			}
			return nil
		}, func(error) { _ = h.Close() })
	}
	return g.Run()
}

// Bounds of the metrics listener. Its requests need no bodies: one that is announced and does not come ends with
// metricsBodyTimeout, or its connection would count as one with a running request for good.
const (
	metricsBodyTimeout    = 5 * time.Second
	metricsHeaderTimeout  = 5 * time.Second
	metricsIdleTimeout    = 2 * time.Minute
	metricsMaxHeaderBytes = 32 << 10
)

func newMetricsServer(listCollectors func() []prometheus.Collector) *http.Server {
	h := &http.Server{
		Handler: expirer.Handler(metricsHandler(listCollectors), metricsBodyTimeout), ReadHeaderTimeout: metricsHeaderTimeout, IdleTimeout: metricsIdleTimeout, MaxHeaderBytes: metricsMaxHeaderBytes,
	}
	accepter.Attach(h)
	return h
}

// metricsHandler registers the collectors when metrics are requested, since the components that
// provide them do not exist when the handler is created.
func metricsHandler(listCollectors func() []prometheus.Collector) http.Handler {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}), confiner.Collector())
	inner := promhttp.HandlerFor(registry, promhttp.HandlerOpts{})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for _, c := range listCollectors() {
			_ = registry.Register(c) // fails, as intended, if the collector is already registered
		}
		inner.ServeHTTP(w, r)
	})
}
