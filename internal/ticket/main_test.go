package ticket

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed, so that each run has the same verdict. The command
// line still overrides it, as in -rapid.seed=7.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}
