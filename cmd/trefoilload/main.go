// Trefoilload sends an open load and reports what callers see.
package main

import (
	"os"

	"github.com/trefoilloft/trefoilloft/internal/command"
)

func main() {
	os.Exit(command.Load(os.Args[1:], os.Stdout, os.Stderr))
}
