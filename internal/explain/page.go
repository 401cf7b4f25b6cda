package explain

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// hiddenFields aren't printed with a line: the page's first line names the job, and
// its pool and queue don't change.
var hiddenFields = []string{"job", "pool", "queue"}

// Page writes the history as text for operators. It fails with the error of w.
func (h *History) Page(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "job %s\n", h.Job)
	if len(h.Entries) == 0 {
		b.WriteString("  no line names it\n")
		_, err := io.WriteString(w, b.String())
		return err
	}
	from := h.Entries[0].At
	fmt.Fprintf(&b, "from %s, times in seconds since then; | marks what concerns its pool or workers\n\n", from.Format(time.RFC3339Nano))
	for i := range h.Entries {
		e := &h.Entries[i]
		mark, times := " ", ""
		if e.Context {
			mark = "|"
		}
		if e.Count > 1 {
			times = fmt.Sprintf(" x%d", e.Count)
		}
		fmt.Fprintf(&b, "%9.3f %s %-20s %s%s%s\n", e.At.Sub(from).Seconds(), mark, e.Instance, e.Event, times, e.details())
	}
	b.WriteString("\n" + h.Verdict.text())
	_, err := io.WriteString(w, b.String())
	return err
}

func (e *Entry) details() string {
	var out []string
	for _, name := range sortedKeys(e.Fields) {
		if !slices.Contains(hiddenFields, name) {
			out = append(out, fmt.Sprintf("%s=%v", name, e.Fields[name]))
		}
	}
	if out == nil {
		return ""
	}
	return "  " + strings.Join(out, " ")
}

func (v *Verdict) text() string {
	var b strings.Builder
	b.WriteString(string(v.Outcome))
	if v.Took > 0 {
		fmt.Fprintf(&b, " after %s, objective %s", v.Took.Round(time.Millisecond), v.Objective.Round(time.Millisecond))
	}
	if v.Late {
		b.WriteString(": late")
	}
	b.WriteString("\n")
	for _, r := range v.Reasons {
		fmt.Fprintf(&b, "  - %s\n", r)
	}
	return b.String()
}
