// Command bed runs a case of the second review: entry instances as separate processes on loopback
// addresses, with stand-ins of the platform's store, its list of machines, the runners and the
// clients. It knows nothing of the project's packages.
//
// Use: bed CASE FOLDER, at the root of the repository after the build of the deploy file. It writes
// FOLDER/record.txt and exits with 1 if the rule was broken, 0 if it held and 2 if the case could not
// run. With TROUBLE=0 in the environment it leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// The exit statuses.
const (
	statusHeld   = 0
	statusBroken = 1
	statusNotRun = 2
)

// wholeCase bounds the time of a case.
const wholeCase = 100 * time.Second

// cases are the cases by name. Each plays its day and returns the rule that it is about. The last four
// are no cases of the review; its report tells of them.
var cases = map[string]func(b *bed, trouble bool) (string, error){
	"advice-burst":        adviceBurst,
	"cap-lowered":         capLowered,
	"wide-job":            wideJob,
	"lasting-done":        lastingDone,
	"lost-answer":         lostAnswer,
	"waiting-count":       waitingCount,
	"wave-of-new-machine": waveOfNewMachine,
	"gang-checkpoint":     gangCheckpoint,
	"gang-near-cap":       gangNearCap,
	"unknown-cancel":      unknownCancel,
}

func main() {
	os.Exit(runCase())
}

func runCase() int {
	const args = 3
	if len(os.Args) != args || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "use: bed CASE FOLDER")
		return statusNotRun
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusNotRun
	}
	defer file.Close()
	r := &record{out: file, began: time.Now(), breaches: make(map[string]int)}
	trouble := os.Getenv("TROUBLE") != "0"
	r.printf("case %s, disruption %v", os.Args[1], trouble)
	rule, err := play(r, os.Args[1], trouble)
	switch {
	case err != nil:
		r.printf("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return statusNotRun
	case r.broken(rule) > 0:
		r.printf("RESULT: %s broken", rule)
		fmt.Println(rule, "broken")
		return statusBroken
	}
	r.printf("RESULT: %s held", rule)
	fmt.Println(rule, "held")
	return statusHeld
}

// play starts a bed, plays a case on it and ends all processes.
func play(r *record, name string, trouble bool) (string, error) {
	const runners, entries = 8, 3
	site, cpu := jlpaGrid, int64(64000)
	switch name {
	case "lost-answer":
		site = tippijakoProd
	case "cap-lowered", "gang-near-cap":
		site, cpu = tippijakoNow, 16000
	}
	b, err := newBed(r, site, runners, cpu)
	if err != nil {
		return "", err
	}
	defer b.close()
	if name == "gang-near-cap" {
		b.others = []string{"pelo12b", "ruka7c", "sivo31d"}
	}
	if site == tippijakoNow {
		b.tenant = &tenant{name: "t-4", key: "a2f0c7d45e11", weight: 8, cpu: usualBound}
	}
	b.configure(1)
	for range entries {
		if err := b.addEntry(); err != nil {
			return "", err
		}
	}
	if err := b.awaitReady(20 * time.Second); err != nil {
		return "", err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	type outcome struct {
		rule string
		err  error
	}
	done := make(chan outcome, 1)
	go func() {
		rule, err := cases[name](b, trouble)
		done <- outcome{rule, err}
	}()
	select {
	case o := <-done:
		return o.rule, o.err
	case s := <-signals:
		return "", fmt.Errorf("ended by %v", s)
	case <-time.After(wholeCase):
		return "", fmt.Errorf("took over %v", wholeCase)
	}
}
