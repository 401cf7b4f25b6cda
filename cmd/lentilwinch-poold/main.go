// Command lentilwinch-poold runs an instance of the scheduler on the users'
// platform: it uses the platform's store, workers and policy service.
package main

import (
	"os"

	"github.com/lentilwinch/lentilwinch/platform"
)

func main() {
	os.Exit(platform.Run(os.Args[1:]))
}
