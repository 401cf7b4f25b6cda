package explain_test

import (
	"bytes"
	"os"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/explain"
)

// Checks that logs of earlier builds still produce the same pages. After an event
// or field is renamed in the code, old lines with the former name would disappear
// from the history or silently change the verdict.
func TestExplainsLogsOfEarlierBuilds(t *testing.T) {
	raw, err := os.ReadFile("testdata/old.log")
	must.NoError(t, err)
	var log explain.Log
	must.NoError(t, log.Read(bytes.NewReader(raw)))
	must.EqOp(t, 0, log.Skipped)
	var pages bytes.Buffer
	for _, job := range []string{"5c0e7a21d94b36f8", "bbbb2222", "cccc3333", "dddd4444", "eeee5555", "ffff6666", "aaaa7777"} {
		h := log.Explain(job)
		must.NoError(t, h.Page(&pages))
		pages.WriteString("\n")
	}
	want, err := os.ReadFile("testdata/old_pages.txt")
	must.NoError(t, err)
	must.EqOp(t, string(want), pages.String())
}
