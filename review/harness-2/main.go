// Command harness runs one case of the review: the project's instances as processes,
// stand-ins for the store, the runners, the policy service and the consumers, and the
// disruption of the case.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0 // the rule held
	exitBroken = 1
	exitNotRun = 2
)

// timeLimit is below the 120 s that a case may take.
const timeLimit = 115 * time.Second

var errTimeLimit = errors.New("the time limit was reached")

// cases holds the cases by the name of their folder. Each returns whether the rule was
// broken, and an error if the case couldn't run.
var cases = map[string]func(w *world, trouble bool) (bool, error){
	"restart-unseen":  restartUnseen,
	"blocked-queue":   blockedQueue,
	"blocked-policy":  blockedPolicy,
	"failed-once":     failedOnce,
	"useless-claim":   uselessClaim,
	"reserved-runner": reservedRunner,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE RECORD, in the repository's root")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, path string) int {
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.say("case %s, trouble %t", name, trouble)
	broken := false
	w, err := newWorld(rec)
	if err == nil {
		broken, err = play(w, func() (bool, error) { return cases[name](w, trouble) })
	}
	if w != nil {
		w.close(os.Getenv("KEEP") == "1")
	}
	code := exitHeld
	switch {
	case err != nil:
		rec.say("the case couldn't run: %v", err)
		code = exitNotRun
	case broken:
		rec.say("rule broken")
		code = exitBroken
	default:
		rec.say("rule held")
	}
	if err := rec.close(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	return code
}

// play runs a case until it ends, the time limit is reached or a signal arrives.
func play(w *world, c func() (bool, error)) (bool, error) {
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := c()
		done <- result{broken, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case r := <-done:
		for _, in := range w.instances {
			if in.hasEnded() && !in.terminated {
				w.record.say("%s has ended by itself", in.name)
			}
		}
		return r.broken, r.err
	case <-time.After(timeLimit - time.Since(w.record.began)):
		return false, errTimeLimit
	case sig := <-signals:
		return false, fmt.Errorf("ended by signal %v", sig)
	}
}
