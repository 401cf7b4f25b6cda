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

// maxLine bounds one log line, in bytes.
const maxLine = 1 << 20

// Line is one log line.
type Line struct {
	At       time.Time      `json:"at"`
	Instance string         `json:"instance"`
	Event    string         `json:"event"`
	Fields   map[string]any `json:"fields,omitempty"`
}

// Log is what was read of one or more log files.
type Log struct {
	Lines []Line
	// Unread counts lines that aren't log lines of an instance.
	Unread int
}

// Read adds the lines of a file. Text before a line's JSON, as collectors put
// it there, is passed over.
func (l *Log) Read(r io.Reader) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		if line, ok := parse(lines.Bytes()); ok {
			l.Lines = append(l.Lines, line)
			continue
		}
		l.Unread++
	}
	if err := lines.Err(); err != nil {
		return fault.Wrap(fault.Invalid, "log can't be read", err)
	}
	return nil
}

func parse(text []byte) (Line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	fields := map[string]any{}
	dec := json.NewDecoder(bytes.NewReader(text[start:]))
	dec.UseNumber() // sequences exceed what a float holds
	if err := dec.Decode(&fields); err != nil {
		return Line{}, false
	}
	at, err := time.Parse("2006-01-02T15:04:05.000Z0700", textOf(fields, "ts"))
	if err != nil {
		return Line{}, false
	}
	line := Line{At: at, Instance: textOf(fields, "node"), Event: textOf(fields, "msg"), Fields: fields}
	for _, known := range []string{"ts", "node", "msg", "level"} {
		delete(fields, known)
	}
	return line, line.Event != ""
}

// textOf returns a field's text, empty where it isn't one.
func textOf(fields map[string]any, name string) string {
	s, _ := fields[name].(string)
	return s
}

func (l *Line) text(name string) string { return textOf(l.Fields, name) }

// number returns a field's number, 0 where it isn't one.
func (l *Line) number(name string) float64 {
	n, _ := l.Fields[name].(json.Number)
	v, err := n.Float64()
	if err != nil {
		return 0 // the field is missing
	}
	return v
}

// duration returns a field's duration, 0 where it isn't one.
func (l *Line) duration(name string) time.Duration {
	d, err := time.ParseDuration(l.text(name))
	if err != nil {
		return 0 // the field is missing; callers treat 0 as unknown
	}
	return d
}
