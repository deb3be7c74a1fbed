package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/pointport/pointport/platform"
)

// This file checks what callers of an entry see while it ends as planned.

// An entry that is told to end twice, as when whoever stops entries in turn does so
// again, answers what it has been asked.
func TestSecondStopCutsNothingOff(t *testing.T) {
	r := rand.New(rand.NewPCG(fixedSeed, 0))
	s := newSoak(t, r, t.TempDir())
	e := s.entries[0]
	e.store.set(delayed) // so that a submission takes a while
	answered := make(chan error, 1)
	go func() {
		c := platform.NewClient(e.settings.Clients, answerTimeout)
		spec := drawSpec(r)
		answered <- c.Submit(context.Background(), s.queues[0], "00000000000000aa", spec)
	}()
	time.Sleep(pieceDelay / 2)
	e.signal(syscall.SIGTERM, 0)
	time.Sleep(pieceDelay / 2)
	e.signal(syscall.SIGTERM, 0)
	if err := <-answered; err != nil {
		t.Errorf("a submission to an entry that is told twice to end: %v", err)
	}
}

// An entry that ends asks its callers with each answer to use another connection, so
// that none is in use when the idle ones are closed.
func TestStoppingEntryDismissesItsCallers(t *testing.T) {
	s := newSoak(t, rand.New(rand.NewPCG(fixedSeed, 0)), t.TempDir())
	e := s.entries[0]
	ask := func() (closes bool) {
		req, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s%s", e.settings.Clients, s.queues[0].Path), nil)
		if err != nil {
			t.Fatal(err)
		}
		req.Host = host
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatalf("no answer: %v", err)
		}
		defer res.Body.Close()
		return res.Close
	}
	if ask() {
		t.Error("an entry in service closes its connections")
	}
	e.signal(syscall.SIGTERM, 0)
	time.Sleep(200 * time.Millisecond)
	if !ask() {
		t.Error("an entry that ends keeps its connections")
	}
}
