// Trefoilfake runs a fake upstream for tests and demonstrations.
package main

import (
	"os"

	"github.com/trefoilloft/trefoilloft/internal/command"
)

func main() {
	os.Exit(command.RunFake(os.Args[1:], os.Stdout, os.Stderr))
}
