// Command lentilwinch-poold runs a lentilwinch instance on the users' platform.
package main

import (
	"os"

	"github.com/lentilwinch/lentilwinch/platform"
)

func main() {
	os.Exit(platform.Run(os.Args[1:]))
}
