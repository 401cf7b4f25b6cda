// Command harness runs one case of the review: it starts the project's program as
// separate processes beside small stand-ins for the platform's store, the runners
// and the consumers, and checks one rule.
//
// Usage: harness CASE REPOSITORY FOLDER. It exits with 1 if the rule was broken, 0
// if it held and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sort"
	"syscall"
	"time"
)

// maxDuration is well below the 120 s that a script may take.
const maxDuration = 112 * time.Second

// env is what a case gets. A case returns the breaches of its rule and an error if
// it couldn't run.
type env struct {
	rec     *Record
	root    string
	temp    string
	trouble bool
	site    *Site
}

var cases = map[string]func(*env) ([]string, error){}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE REPOSITORY FOLDER")
		os.Exit(2)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2], os.Args[3]))
}

func run(c func(*env) ([]string, error), root, folder string) (code int) {
	rec, err := NewRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.Close()
	temp := os.Getenv("CASE_TEMP") // to keep the logs
	if temp == "" {
		if temp, err = os.MkdirTemp("", "review-case"); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 2
		}
		defer os.RemoveAll(temp)
	}
	e := &env{rec: rec, root: root, temp: temp, trouble: os.Getenv("TROUBLE") != "0"}
	rec.Log("with the disruption: %v", e.trouble)
	type result struct {
		breaches []string
		err      error
	}
	results := make(chan result, 1)
	go func() {
		defer func() {
			if p := recover(); p != nil {
				results <- result{err: fmt.Errorf("%v", p)}
			}
		}()
		breaches, err := c(e)
		results <- result{breaches, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	var r result
	select {
	case r = <-results:
	case sig := <-signals:
		r.err = fmt.Errorf("stopped by %v", sig)
	case <-time.After(maxDuration):
		r.err = fmt.Errorf("not finished after %v", maxDuration)
	}
	if e.site != nil {
		e.site.Close()
	}
	if r.err != nil {
		rec.Log("couldn't run: %v", r.err)
		fmt.Fprintln(os.Stderr, r.err)
		return 2
	}
	sort.Strings(r.breaches)
	for _, b := range r.breaches {
		rec.Log("BROKEN %s", b)
		fmt.Println("BROKEN", b)
	}
	if len(r.breaches) > 0 {
		return 1
	}
	rec.Log("the rule held")
	fmt.Println("the rule held")
	return 0
}
