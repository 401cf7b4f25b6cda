package document

import (
	"errors"
	"strconv"
	"strings"

	"github.com/lentilwinch/lentilwinch/internal/fault"
)

const (
	// maxProblems bounds the problems listed for one document.
	maxProblems = 200
	// maxValueBytes bounds the length of a value shown in a problem.
	maxValueBytes = 100
)

// Problems collects the problems of one document, at most one for each path.
// The zero value is ready to use.
type Problems struct {
	list    []fault.Problem
	paths   map[string]bool
	omitted int
}

// Add records a problem unless the path or an enclosing path already has one, since
// the value of such a path was rejected or never decoded. Beyond maxProblems it
// only counts.
func (p *Problems) Add(path, value, allowed string) {
	if p.HasProblem(path) {
		return
	}
	if p.paths == nil {
		p.paths = make(map[string]bool)
	}
	if len(p.list) >= maxProblems {
		p.omitted++
		return
	}
	p.paths[path] = true
	p.list = append(p.list, fault.Problem{Path: path, Value: truncate(value), Allowed: allowed})
}

// HasProblem reports whether the path or an enclosing path has a problem.
func (p *Problems) HasProblem(path string) bool {
	if p.paths[Root] || p.paths[path] {
		return true
	}
	for i := range len(path) {
		if (path[i] == '.' || path[i] == '[') && p.paths[path[:i]] {
			return true
		}
	}
	return false
}

// Empty reports whether no problem was found.
func (p *Problems) Empty() bool {
	return len(p.list) == 0
}

// Err returns a fault.Invalid with the recorded problems and the number of those
// beyond maxProblems, or nil if there are none.
func (p *Problems) Err(message string) error {
	if p.Empty() {
		return nil
	}
	problems := p.list
	if p.omitted > 0 {
		more := strconv.Itoa(p.omitted) + " more problems"
		problems = append(problems, fault.Problem{Path: Root, Value: more, Allowed: "fix the listed problems first"})
	}
	return fault.InvalidDocument(message, problems)
}

// ErrorText returns the error's message followed by one line for each problem.
func ErrorText(err error) string {
	var f *fault.Error
	if !errors.As(err, &f) {
		return err.Error()
	}
	return strings.Join(append([]string{err.Error()}, ProblemLines(f.Problems)...), "\n")
}

// ProblemLines formats each problem as one indented line.
func ProblemLines(problems []fault.Problem) []string {
	var out []string
	for _, p := range problems {
		out = append(out, "  "+p.Path+": found "+p.Value+"; allowed: "+p.Allowed)
	}
	return out
}

func truncate(value string) string {
	if len(value) <= maxValueBytes {
		return value
	}
	return strings.ToValidUTF8(value[:maxValueBytes], "") + "..."
}
