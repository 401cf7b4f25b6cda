package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the log of what was sent, answered and run. Times are seconds since
// the script began.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

// NewRecord creates or truncates the file at path.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: f, began: time.Now()}, nil
}

// Now returns the time since the script began.
func (r *Record) Now() time.Duration { return time.Since(r.began) }

// Log writes one line.
func (r *Record) Log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// Close flushes the file.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.file.Sync()
	_ = r.file.Close()
}
