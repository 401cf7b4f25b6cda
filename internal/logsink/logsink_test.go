package logsink

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"
)

func TestWritesEveryLineWhole(t *testing.T) {
	var out bytes.Buffer
	s := New(&out)
	for range 500 {
		_, err := s.Write([]byte(strings.Repeat("x", 99) + "\n"))
		must.NoError(t, err)
	}
	s.Close()
	must.EqOp(t, 500, strings.Count(out.String(), strings.Repeat("x", 99)+"\n"))
}

// Guards against writers that block while the log's reader stalls: lines must be
// dropped instead.
func TestStalledReaderDropsLines(t *testing.T) {
	r, w := io.Pipe()
	s := New(w)
	log := s.Logger(Budget{Unlimited: []string{"decision"}})
	for range 2 * queueLines {
		log.Info("decision", zap.String("job", "a"))
	}
	must.Greater(t, 0, s.Dropped())
	go func() { _, _ = io.Copy(io.Discard, r) }()
	s.Close()
}

func BenchmarkLine(b *testing.B) {
	s := New(io.Discard)
	defer s.Close()
	log := s.Logger(Budget{Unlimited: []string{"start"}})
	b.ReportAllocs()
	for b.Loop() {
		log.Info("start", zap.String("job", "5c0e7a21d94b36f8"), zap.Int("step", 0), zap.Int64("run", 1), zap.String("worker", "i-7f3a91c2"))
	}
}

// Guards against a frequent event whose limit also drops lines of other events,
// or an event of Budget.Unlimited that is limited.
func TestLimitsAndCountsFrequentEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		s := New(&out)
		log := s.Logger(Budget{Unlimited: []string{"job accepted"}}).With(zap.String("node", "n"))
		for range 2 * maxLinesPerSecond {
			log.Info("start")
			log.Info("job accepted")
		}
		log.Info("worker silent")
		time.Sleep(2 * time.Second)
		log.Info("start")
		s.Close()
		must.EqOp(t, maxLinesPerSecond, s.SampledOut())
		must.EqOp(t, maxLinesPerSecond+1, strings.Count(out.String(), `"msg":"start"`))
		must.EqOp(t, 2*maxLinesPerSecond, strings.Count(out.String(), `"msg":"job accepted"`))
		must.EqOp(t, 1, strings.Count(out.String(), `"msg":"worker silent"`))
	})
}
