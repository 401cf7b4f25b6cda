// Package logsink writes log lines without ever blocking the writer.
package logsink

import (
	"io"
	"sync/atomic"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// linesHeld bounds the lines that wait for a slow reader.
const linesHeld = 2048

// largestWrite is what a pipe takes as a whole.
const largestWrite = 4096

// Sink hands lines to a goroutine; lines that find the queue full are dropped
// and counted. It is safe for concurrent use.
type Sink struct {
	lines   chan []byte
	dropped atomic.Int64
	leftOut atomic.Int64
	done    chan struct{}
}

// New returns a sink that writes to out until it is closed.
func New(out io.Writer) *Sink {
	s := &Sink{lines: make(chan []byte, linesHeld), done: make(chan struct{})}
	go s.run(out)
	return s
}

func (s *Sink) run(out io.Writer) {
	defer close(s.done)
	var batch []byte
	for line := range s.lines {
		batch = append(batch[:0], line...)
		for range len(s.lines) {
			next := <-s.lines
			if len(batch)+len(next) > largestWrite {
				write(out, batch)
				batch = batch[:0]
			}
			batch = append(batch, next...)
		}
		write(out, batch)
	}
}

func write(out io.Writer, batch []byte) {
	// A reader that went away leaves nowhere to report to.
	_, _ = out.Write(batch)
}

// Write implements io.Writer. It never fails and never blocks.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer.
func (s *Sink) Sync() error { return nil }

// Dropped counts the lines that were dropped.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Close writes what is queued. Nothing may be written after it.
func (s *Sink) Close() {
	close(s.lines)
	<-s.done
}

// LeftOut counts the lines that were over their event's budget.
func (s *Sink) LeftOut() int64 { return s.leftOut.Load() }

// Logger returns a logger of JSON lines into the sink, within a budget.
func (s *Sink) Logger(budget Budget) *zap.Logger {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.ISO8601TimeEncoder
	config.EncodeDuration = zapcore.StringDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), s, zapcore.InfoLevel)
	return zap.New(newBudgeted(core, budget, &s.leftOut))
}
