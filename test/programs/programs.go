// Package programs builds the repository's programs for tests that run them as
// processes.
package programs

import (
	"fmt"
	"os"
	"os/exec"
	"testing"
)

// commands is the import path of the directory of all programs.
const commands = "github.com/lentilwinch/lentilwinch/cmd/"

// Run builds the named programs into a temporary directory, sets *dir to it, and runs
// the tests. It returns the exit code, which is 1 if a program can't be built.
func Run(m *testing.M, dir *string, names ...string) int {
	built, err := os.MkdirTemp("", "lentilwinch-programs-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(built)
	args := []string{"build", "-o", built + "/"}
	for _, name := range names {
		args = append(args, commands+name)
	}
	if out, err := exec.Command("go", args...).CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%s\n%v\n", out, err)
		return 1
	}
	*dir = built
	return m.Run()
}
