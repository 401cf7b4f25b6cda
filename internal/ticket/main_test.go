package ticket

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed rapid seed for reproducible runs. The command line still
// overrides it, for example with -rapid.seed=7.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}
