// Command harness runs one case of review 3: harness CASE FOLDER.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// longest is below the 120 s that a script may take.
const longest = 115 * time.Second

// scenarios return whether the rule held.
var scenarios = map[string]func(dir string, trouble bool) bool{
	"memory": memory, "early": early, "label": label, "after": after, "moved": moved, "givenup": givenUp,
}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE FOLDER")
		os.Exit(2)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stop
		cleanup()
		os.Exit(2)
	}()
	time.AfterFunc(longest, func() {
		fmt.Fprintln(os.Stderr, "can't run: it takes too long")
		cleanup()
		os.Exit(2)
	})
	held := scenarios[os.Args[1]](os.Args[2], os.Getenv("TROUBLE") != "0")
	cleanup()
	if !held {
		fmt.Println("the rule was broken; see record.txt")
		os.Exit(1)
	}
	fmt.Println("the rule held")
}
