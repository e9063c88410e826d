// Trefoilload sends an open-loop load and reports response times and errors as callers see them.
package main

import (
	"os"

	"github.com/trefoilloft/trefoilloft/internal/command"
)

func main() {
	os.Exit(command.RunLoad(os.Args[1:], os.Stdout, os.Stderr))
}
