package command

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/trefoilloft/trefoilloft/internal/tracer"
)

// traceCommand needs no settings and no control host, so it is apart from the others.
const traceCommand = "trace"

var errUntraced = errors.New("no line is about the request")

// traceRequest prints what the logs of all hosts say about one request.
func traceRequest(args []string, stdout, stderr io.Writer) int {
	app := kingpin.New("trefoilctl trace", "Follow one request through the logs of all hosts.")
	app.UsageWriter(stdout).ErrorWriter(stderr)
	request := app.Arg("request", "Identity of the request.").Required().String()
	files := app.Arg("log", "Files that hold the hosts' logs.").Required().ExistingFiles()
	if _, err := app.Parse(args); err != nil {
		return usage(stderr, app, err)
	}
	return report(stderr, app.Name, writeTrace(*request, *files, stdout, stderr))
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
	found := tracer.Trace(all, request)
	if len(found) == 0 {
		return fmt.Errorf("%w %q", errUntraced, request)
	}
	return tracer.Write(stdout, found)
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
