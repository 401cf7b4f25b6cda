// Package logsink writes log lines without blocking the code that logs.
package logsink

import (
	"io"
	"sync/atomic"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// queueLines is the capacity of the queue, in lines. Lines wait in it while the
// log's reader is slow.
const queueLines = 2048

// maxWriteBytes limits a batch of lines to the size that a pipe accepts as an
// atomic write. A longer line is written alone.
const maxWriteBytes = 4096

// Sink queues lines for a goroutine that writes them. It drops and counts lines
// while the queue is full. It is safe for concurrent use.
type Sink struct {
	lines      chan []byte
	dropped    atomic.Int64
	sampledOut atomic.Int64
	done       chan struct{}
}

// New returns a sink that writes to out until it is closed.
func New(out io.Writer) *Sink {
	s := &Sink{lines: make(chan []byte, queueLines), done: make(chan struct{})}
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
			if len(batch)+len(next) > maxWriteBytes {
				write(out, batch)
				batch = batch[:0]
			}
			batch = append(batch, next...)
		}
		write(out, batch)
	}
}

func write(out io.Writer, batch []byte) {
	// The error is ignored because it can't be logged if the log's reader has
	// closed the pipe.
	_, _ = out.Write(batch)
}

// Write queues a line, or drops and counts it if the queue is full. It implements
// io.Writer, never fails and never blocks.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer. It doesn't wait for the queued lines, which
// only Close writes out.
func (s *Sink) Sync() error { return nil }

// Dropped returns the number of lines dropped because the queue was full.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Close writes the queued lines and stops the sink. It blocks while the log's
// reader stalls. Write must not be called after Close.
func (s *Sink) Close() {
	close(s.lines)
	<-s.done
}

// SampledOut returns the number of lines dropped because they exceeded the budget
// of their event.
func (s *Sink) SampledOut() int64 { return s.sampledOut.Load() }

// Logger returns a logger that writes JSON lines of level info and above to the
// sink within the budget.
func (s *Sink) Logger(budget Budget) *zap.Logger {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.ISO8601TimeEncoder
	config.EncodeDuration = zapcore.StringDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), s, zapcore.InfoLevel)
	return zap.New(newBudgetCore(core, budget, &s.sampledOut))
}
