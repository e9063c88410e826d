// Command trefoilnode runs one host's process on the users' platform.
package main

import (
	"os"

	"github.com/trefoilloft/trefoilloft/platform"
)

func main() {
	os.Exit(platform.Main(os.Args[1:], os.Stdout, os.Stderr))
}
