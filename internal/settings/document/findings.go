package document

import (
	"errors"
	"strconv"
	"strings"

	"github.com/lentilwinch/lentilwinch/internal/fault"
)

const (
	// maxProblems bounds the findings kept about one document.
	maxProblems = 200
	// maxShownBytes bounds the length of a value shown in a finding.
	maxShownBytes = 100
)

// Findings collects the problems of one document, at most one for each path.
// The zero value is ready for use.
type Findings struct {
	problems []fault.Problem
	found    map[string]bool
	omitted  int
}

// Add records a problem unless the path or one that encloses it has one: the
// value of such a path was never read.
func (f *Findings) Add(path, value, allowed string) {
	if f.Has(path) {
		return
	}
	if f.found == nil {
		f.found = make(map[string]bool)
	}
	if len(f.problems) >= maxProblems {
		f.omitted++
		return
	}
	f.found[path] = true
	f.problems = append(f.problems, fault.Problem{Path: path, Value: shorten(value), Allowed: allowed})
}

// Has reports whether the path or one that encloses it has a problem.
func (f *Findings) Has(path string) bool {
	if f.found[Root] || f.found[path] {
		return true
	}
	for i := range len(path) {
		if (path[i] == '.' || path[i] == '[') && f.found[path[:i]] {
			return true
		}
	}
	return false
}

// Empty reports whether no problem was found.
func (f *Findings) Empty() bool {
	return len(f.problems) == 0
}

// Err returns nil without problems, else a fault.Invalid with all of them.
func (f *Findings) Err(message string) error {
	if f.Empty() {
		return nil
	}
	problems := f.problems
	if f.omitted > 0 {
		more := strconv.Itoa(f.omitted) + " more problems"
		problems = append(problems, fault.Problem{Path: Root, Value: more, Allowed: "mend the ones listed first"})
	}
	return fault.Document(message, problems)
}

// Explain returns a failure in words with one line for each problem.
func Explain(err error) string {
	var f *fault.Error
	if !errors.As(err, &f) {
		return err.Error()
	}
	return strings.Join(append([]string{err.Error()}, Lines(f.Problems)...), "\n")
}

// Lines returns one line for each problem.
func Lines(problems []fault.Problem) []string {
	var out []string
	for _, p := range problems {
		out = append(out, "  "+p.Path+": found "+p.Value+"; allowed: "+p.Allowed)
	}
	return out
}

func shorten(value string) string {
	if len(value) <= maxShownBytes {
		return value
	}
	return strings.ToValidUTF8(value[:maxShownBytes], "") + "..."
}
