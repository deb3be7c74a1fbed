// Package main plays the cases of the review: it starts the project's program as separate
// processes, with the command of the deploy file, on stand-ins of the platform, of runners and of
// clients that follow the users' pages, and checks one of their rules.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/pointport/pointport"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitCannot = 2
)

// The deployment: zones, entry instances and machines.
const (
	pool      = "huvo11a"
	sparePool = "lohu93e"
)

var zoneNames = []string{"sahab-hall", "zarqa-hall", "marka-hall", "khalda-hall"}

// A play is one run of a case.
type play struct {
	rec     *recorder
	trouble bool
	store   *store
	kv      pointport.KV // the platform's own access to the store
	farm    *farm
	entries []*entry
	works   map[string][]work // by job
	turns   atomic.Int64
}

// turn returns a number that rises with each call.
func (p *play) turn() int { return int(p.turns.Add(1)) }

// A scenario is one case: it reports whether its rule was broken.
type scenario struct {
	machines, spare int
	cpu             int64
	entries         int
	play            func(p *play) (broken bool, err error)
}

func main() {
	name := flag.String("case", "", "name of the case")
	root := flag.String("root", ".", "root of the project")
	dir := flag.String("dir", ".", "folder of the case, for record.txt")
	tmp := flag.String("tmp", os.TempDir(), "temporary folder")
	trouble := flag.Bool("trouble", true, "whether to bring the disruption")
	flag.Parse()
	os.Exit(playCase(*name, *root, *dir, *tmp, *trouble))
}

func playCase(name, root, dir, tmp string, trouble bool) int {
	s, ok := scenarios[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return exitCannot
	}
	rec, err := newRecorder(filepath.Join(dir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannot
	}
	p := &play{rec: rec, trouble: trouble, works: make(map[string][]work)}
	defer p.close()
	rec.line("case %s, trouble %v", name, trouble)
	if err := p.start(s, root, tmp); err != nil {
		rec.line("cannot run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitCannot
	}
	broken, err := s.play(p)
	switch {
	case err != nil:
		rec.line("cannot run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitCannot
	case broken:
		rec.line("RESULT: the rule was broken")
		return exitBroken
	}
	rec.line("RESULT: the rule held")
	return exitHeld
}

// start starts the platform, the runners and the entry instances, and waits until these are ready.
func (p *play) start(s scenario, root, tmp string) error {
	var storeAddress string
	var err error
	if p.store, p.kv, storeAddress, err = newStore(); err != nil {
		return err
	}
	p.farm = newFarm(p.rec, p.kv, s.cpu, 64<<10)
	p.farm.workOf = func(job string, step int) (work, bool) {
		w, ok := p.works[job]
		if !ok || step >= len(w) {
			return work{}, false
		}
		return w[step], true
	}
	if err := p.configure(); err != nil {
		return err
	}
	for n := range s.machines + s.spare {
		in := pool
		if n >= s.machines {
			in = sparePool
		}
		if err := p.farm.add(n, in, zoneNames[n%len(zoneNames)]); err != nil {
			return err
		}
	}
	cloudAddress, err := serve(p.farm.cloud())
	if err != nil {
		return err
	}
	return p.startEntries(s, root, tmp, storeAddress, cloudAddress)
}

func (p *play) startEntries(s scenario, root, tmp, storeAddress, cloudAddress string) error {
	network, err := freeNetwork(s.entries)
	if err != nil {
		return err
	}
	root, err = filepath.Abs(root)
	if err != nil {
		return err
	}
	command, err := deployCommand(root)
	if err != nil {
		return err
	}
	for n := range s.entries {
		zone := zoneNames[n%len(zoneNames)]
		e := &entry{rec: p.rec, name: fmt.Sprintf("frontend-%s-%d", zone, n/len(zoneNames)+1), ip: fmt.Sprintf("%s.%d", network, n+1), zone: zone, command: command}
		e.settings, e.log = filepath.Join(tmp, e.name+".toml"), filepath.Join(tmp, e.name+".log")
		seeds := fmt.Sprintf(`"%s.1:%d"`, network, controlPort)
		if err := e.writeSettings(storeAddress, cloudAddress, seeds, zoneNames); err != nil {
			return err
		}
		p.entries = append(p.entries, e)
		if err := e.run(); err != nil {
			return err
		}
	}
	return p.until(15*time.Second, "the entry instances are ready and the pool has an owner", func() bool {
		for _, e := range p.entries {
			if !e.ready() {
				return false
			}
		}
		return ownerOf(p.kv, pool) != ""
	})
}

// configure writes the operator's first configuration.
func (p *play) configure() error {
	service := func(name string, spare bool) map[string]any {
		return map[string]any{"name": name, "health_check_path": "/health", "max_connections": 64, "protocol": "h1", "tls": false, "rejects_overload": true, "spare": spare}
	}
	value, err := json.Marshal(map[string]any{
		"version": 7,
		"routes": []map[string]any{{"name": "r-u6wsjnb", "host": clientHost, "path_prefix": prefix, "kind": "non_idempotent", "timeout_ms": 3000,
			"target_latency_ms": 600, "priority": 0, "service": pool, "max_attempts": 3, "stretch": 1.6}},
		"services": []map[string]any{service(pool, false), service(sparePool, true)},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if err != nil {
		return err
	}
	_, err = p.kv.Commit(context.Background(), pointport.Txn{Put: []pointport.Put{{Key: "op/config", Value: value}}})
	return err
}

// until waits until a condition holds, and fails after a time.
func (p *play) until(limit time.Duration, what string, holds func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			p.rec.line("now %s", what)
			return nil
		}
	}
	return fmt.Errorf("not within %v: %s", limit, what)
}

// byName returns the entry instance with a name, nil if there is none.
func (p *play) byName(name string) *entry {
	for _, e := range p.entries {
		if e.name == name {
			return e
		}
	}
	return nil
}

// close ends all processes that the play has started.
func (p *play) close() {
	for _, e := range p.entries {
		e.close()
	}
}
