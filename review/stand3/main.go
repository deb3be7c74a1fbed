// Command stand3 plays the cases of the third review. It starts the project's own entry
// instances as processes, stands in for the platform, the runners and the clients as the
// users' pages describe them, and judges what these have seen.
//
//	stand3 CASE RECORD
//
// CASE is the name of a case, RECORD the file in which everything is recorded. With TROUBLE=0
// in the environment, the case is played without its disruption. The exit code is 1 if the rule
// was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// playLimit bounds a play. A case that takes longer could not run.
const playLimit = 112 * time.Second

func main() { os.Exit(playCase()) }

func playCase() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: stand3 CASE RECORD")
		return exitNotRun
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		return exitNotRun
	}
	b, err := newBed(os.Args[2], play.settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		return exitNotRun
	}
	defer b.close()
	b.trouble = os.Getenv("TROUBLE") != "0"
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	if err := b.startEntries(play.settings.entries); err != nil {
		b.record("cannot run: %v", err)
		return exitNotRun
	}
	code := make(chan int, 1)
	go func() { code <- play.play(b) }()
	select {
	case c := <-code:
		b.record("exit %d", c)
		return c
	case <-stop:
		b.record("stopped by a signal")
	case <-time.After(playLimit):
		b.record("took too long")
	}
	return exitNotRun
}
