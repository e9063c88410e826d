// Trefoilfake runs stand-ins for upstreams.
package main

import (
	"os"

	"github.com/trefoilloft/trefoilloft/internal/command"
)

func main() {
	os.Exit(command.Fake(os.Args[1:], os.Stdout, os.Stderr))
}
