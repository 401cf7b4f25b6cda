// Command lentilwinch is the command-line tool for operators and callers.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/lentilwinch/lentilwinch/internal/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := cli.Run(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
