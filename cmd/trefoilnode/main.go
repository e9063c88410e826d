// Trefoilnode runs one process of the system, an entry host or a control host, on the users'
// platform.
package main

import (
	"os"

	"github.com/trefoilloft/trefoilloft/platform"
)

func main() {
	os.Exit(platform.Main(os.Args[1:], os.Stdout, os.Stderr))
}
