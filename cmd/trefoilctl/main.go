// Trefoilctl is the operators' command-line client.
package main

import (
	"os"

	"github.com/trefoilloft/trefoilloft/internal/command"
)

func main() {
	os.Exit(command.RunOperator(os.Args[1:], os.Stdout, os.Stderr))
}
