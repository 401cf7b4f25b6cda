// Command lentilwinchd runs one instance of the scheduler. All instances have
// the same duties; the settings give the instance's ID and failure domain.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/peterbourgon/ff/v3"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/lentilwinch/lentilwinch/internal/daemon"
	"github.com/lentilwinch/lentilwinch/internal/ingress"
	"github.com/lentilwinch/lentilwinch/internal/settings"
	"github.com/lentilwinch/lentilwinch/internal/settings/document"
)

const (
	exitOK       = 0
	exitInternal = 1
	exitUsage    = 2
)

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	fs := flag.NewFlagSet("lentilwinchd", flag.ContinueOnError)
	path := fs.String("settings", "", "JSON settings file (required)")
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix("LENTILWINCHD")); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return exitOK
		}
		return exitUsage
	}
	s, err := settings.LoadFile(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, document.ErrorText(err))
		return exitUsage
	}
	log, err := newLogger(s.Log.Level)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitInternal
	}
	debug.SetMemoryLimit(ingress.MemoryLimit(s.Limits.MemoryMB << 20))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := daemon.New(s, log).Run(ctx); err != nil {
		log.Error("instance_failed", zap.Error(err))
		return exitInternal
	}
	return exitOK
}

func newLogger(level string) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	cfg := zap.NewProductionConfig()
	cfg.Level = zap.NewAtomicLevelAt(parsed)
	cfg.Sampling = nil
	cfg.EncoderConfig.EncodeTime = zapcore.ISO8601TimeEncoder
	return cfg.Build()
}
