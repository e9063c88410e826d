// Trefoild runs one process of the system: an entry host or a control host.
package main

import (
	"os"

	"github.com/trefoilloft/trefoilloft/internal/command"
)

func main() {
	os.Exit(command.RunDaemon(os.Args[1:], os.Stdout, os.Stderr))
}
