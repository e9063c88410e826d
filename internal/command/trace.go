package command

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/trefoilloft/trefoilloft/internal/tracer"
)

// traceCommand is parsed apart from the other commands, since it needs neither settings nor a
// control host.
const traceCommand = "trace"

var errRequestNotLogged = errors.New("no log line has the request ID")

// traceRequest runs "trefoilctl trace", which prints the lines about one request from the logs
// of all hosts, and returns the exit status.
func traceRequest(args []string, stdout, stderr io.Writer) int {
	app := kingpin.New("trefoilctl trace", "Follow one request through the logs of all hosts.")
	app.UsageWriter(stdout).ErrorWriter(stderr)
	request := app.Arg("request", "Request ID.").Required().String()
	files := app.Arg("log", "Files that hold the hosts' logs.").Required().ExistingFiles()
	if _, err := app.Parse(args); err != nil {
		return reportUsageError(stderr, app, err)
	}
	return reportError(stderr, app.Name, writeTrace(*request, *files, stdout, stderr))
}

func writeTrace(request string, files []string, stdout, stderr io.Writer) error {
	var all []tracer.Line
	for _, name := range files {
		lines, skipped, err := readLog(name)
		if err != nil {
			return err
		}
		if skipped > 0 {
			fmt.Fprintf(stderr, "%s: %d lines passed over\n", name, skipped)
		}
		all = append(all, lines...)
	}
	selected := tracer.SelectRequest(all, request)
	if len(selected) == 0 {
		return fmt.Errorf("%w %q", errRequestNotLogged, request)
	}
	return tracer.Write(stdout, selected)
}

func readLog(name string) ([]tracer.Line, int, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = f.Close() }()
	lines, skipped, err := tracer.Read(f)
	if err != nil {
		return nil, 0, fmt.Errorf("%s: %w", name, err)
	}
	return lines, skipped, nil
}
