package settings

import (
	"errors"
	"io"
	"io/fs"
	"os"

	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/settings/document"
)

// maxDocumentBytes bounds the size of a settings document.
const maxDocumentBytes = 256 << 10

const invalidMessage = "settings are invalid"

// LoadFile reads the settings from a file. It fails like Load, and with
// fault.NotFound when there is no such file.
func LoadFile(path string) (Daemon, error) {
	file, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return Daemon{}, fault.Wrap(fault.NotFound, "settings file", err)
	}
	if err != nil {
		return Daemon{}, fault.Wrap(fault.Unavailable, "open settings file", err)
	}
	defer func() { _ = file.Close() }()
	return Load(file)
}

// Load reads settings as JSON; settings that are missing keep their defaults.
// It fails with fault.Invalid, listing all problems, and with
// fault.Unavailable when r can't be read.
func Load(r io.Reader) (Daemon, error) {
	doc, err := io.ReadAll(io.LimitReader(r, maxDocumentBytes+1))
	if err != nil {
		return Daemon{}, fault.Wrap(fault.Unavailable, "read settings", err)
	}
	out := Default()
	var problems document.Problems
	document.Decode(doc, maxDocumentBytes, &out, &problems)
	c := checker{problems: &problems}
	c.check(out)
	if err := problems.Err(invalidMessage); err != nil {
		return Daemon{}, err
	}
	return out, nil
}
