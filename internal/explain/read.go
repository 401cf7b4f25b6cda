// Package explain reconstructs a job's history from the logs of all instances.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/fault"
)

// maxLineBytes limits the length of a log line. Read fails for longer lines.
const maxLineBytes = 1 << 20

// Line is a parsed log line. Fields holds the fields other than the time, the
// instance, the event and the level.
type Line struct {
	At       time.Time      `json:"at"`
	Instance string         `json:"instance"`
	Event    string         `json:"event"`
	Fields   map[string]any `json:"fields,omitempty"`
}

// Log holds the lines read from one or more log files.
type Log struct {
	Lines []Line
	// Skipped counts the lines that couldn't be parsed as log lines of an instance.
	Skipped int
}

// Read adds the lines of a log file. It ignores text in front of a line's JSON,
// such as a prefix added by a log collector. It fails with fault.Invalid if r can't
// be read or a line is longer than maxLineBytes.
func (l *Log) Read(r io.Reader) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		if line, ok := parseLine(lines.Bytes()); ok {
			l.Lines = append(l.Lines, line)
			continue
		}
		l.Skipped++
	}
	if err := lines.Err(); err != nil {
		return fault.Wrap(fault.Invalid, "log can't be read", err)
	}
	return nil
}

// parseLine reports false if text isn't a log line of an instance.
func parseLine(text []byte) (Line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	fields := map[string]any{}
	dec := json.NewDecoder(bytes.NewReader(text[start:]))
	dec.UseNumber() // a float64 can't represent all sequence numbers
	if err := dec.Decode(&fields); err != nil {
		return Line{}, false
	}
	at, err := time.Parse("2006-01-02T15:04:05.000Z0700", stringField(fields, "ts"))
	if err != nil {
		return Line{}, false
	}
	line := Line{At: at, Instance: stringField(fields, "node"), Event: stringField(fields, "msg"), Fields: fields}
	for _, name := range []string{"ts", "node", "msg", "level"} {
		delete(fields, name)
	}
	return line, line.Event != ""
}

// stringField returns the value of a field, or "" if it is missing or not a string.
func stringField(fields map[string]any, name string) string {
	s, _ := fields[name].(string)
	return s
}

func (l *Line) text(name string) string { return stringField(l.Fields, name) }

// number returns the value of a field, or 0 if it is missing or not a number.
func (l *Line) number(name string) float64 {
	n, _ := l.Fields[name].(json.Number)
	v, err := n.Float64()
	if err != nil {
		return 0 // the field is missing or not a number
	}
	return v
}

// duration returns the value of a field, or 0 if it is missing or not a duration.
func (l *Line) duration(name string) time.Duration {
	d, err := time.ParseDuration(l.text(name))
	if err != nil {
		return 0 // callers treat 0 as unknown
	}
	return d
}
