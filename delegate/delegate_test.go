package delegate

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/clock"
	_ "github.com/pointport/pointport/internal/fixedseed"
	"github.com/pointport/pointport/member"
)

// This file tests orders that go through a delegate over loopback connections.

// A recorder is an Executor that records orders and returns configured answers.
type recorder struct {
	mu     sync.Mutex
	starts []pointport.StartOrder
	holds  []pointport.PollOrder
	report pointport.Report
	err    error
	block  chan struct{} // if not nil, orders wait until it is closed
}

func (r *recorder) answer(ctx context.Context) error {
	r.mu.Lock()
	block, err := r.block, r.err
	r.mu.Unlock()
	if block != nil {
		select {
		case <-block:
		case <-ctx.Done():
		}
	}
	return err
}

// Start records the order.
func (r *recorder) Start(ctx context.Context, _ pointport.Endpoint, o pointport.StartOrder) (pointport.InstanceTime, error) {
	r.mu.Lock()
	r.starts = append(r.starts, o)
	r.mu.Unlock()
	return 42, r.answer(ctx)
}

// Stop only answers.
func (r *recorder) Stop(ctx context.Context, _ pointport.Endpoint, _ pointport.StopOrder) (pointport.InstanceTime, error) {
	return 43, r.answer(ctx)
}

// Pace only answers.
func (r *recorder) Pace(ctx context.Context, _ pointport.Endpoint, _ pointport.PaceOrder) error {
	return r.answer(ctx)
}

// Poll records the order and returns the configured report.
func (r *recorder) Poll(ctx context.Context, _ pointport.Endpoint, o pointport.PollOrder) (pointport.Report, error) {
	r.mu.Lock()
	r.holds = append(r.holds, o)
	r.mu.Unlock()
	return r.report, r.answer(ctx)
}

func (r *recorder) started() []pointport.StartOrder {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]pointport.StartOrder(nil), r.starts...)
}

// A pair is an owner's Executor and its only delegate.
type pair struct {
	owner            *Executor
	direct, delegate *recorder
	server           *httptest.Server
	sent             atomic.Int64 // bytes that the owner has sent to the delegate
}

var endpoint = pointport.Endpoint{Incarnation: "i-1", Address: "10.0.0.1:1"}

func newPair(t *testing.T) *pair {
	t.Helper()
	p := &pair{direct: &recorder{}, delegate: &recorder{}}
	logger := slog.New(slog.DiscardHandler)
	handler := Handler(p.delegate, logger)
	p.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = &countedBody{r.Body, &p.sent}
		handler.ServeHTTP(w, r)
	}))
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(func() {
		cancel()
		p.server.CloseClientConnections()
		p.server.Close()
	})
	m := member.Member{Name: "peer", Peer: strings.TrimPrefix(p.server.URL, "http://")}
	listCandidates := func(int) []member.Member { return []member.Member{m} }
	p.owner = New(ctx, p.direct, listCandidates, &http.Client{Transport: &http.Transport{}}, clock.System{}, logger)
	return p
}

// A countedBody counts the bytes read from it.
type countedBody struct {
	io.ReadCloser
	count *atomic.Int64
}

// Read reads and counts.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.count.Add(int64(n))
	return n, err
}

// connect waits until orders go through the delegate.
func (p *pair) connect(t *testing.T) {
	t.Helper()
	for range 200 {
		if _, err := p.owner.Stop(t.Context(), endpoint, pointport.StopOrder{}); err != nil {
			t.Fatal(err)
		}
		p.owner.mu.Lock()
		open := len(p.owner.streams)
		p.owner.mu.Unlock()
		if open > 0 {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("no stream to the delegate was opened")
}

// Orders must go directly until the delegate has accepted the stream, and through it after that.
func TestOrdersGoDirectlyUntilStreamIsOpen(t *testing.T) {
	p := newPair(t)
	order := pointport.StartOrder{TaskRun: pointport.TaskRun{Task: "a.0.0.0", Run: 1}, Payload: "x", Fence: 7, LeaseUntil: 99, Checkpoint: "c", Ticket: "t"}
	if _, err := p.owner.Start(t.Context(), endpoint, order); err != nil {
		t.Fatal(err)
	}
	if n := len(p.direct.started()); n != 1 {
		t.Fatalf("%d direct starts before the stream is open, want 1", n)
	}
	p.connect(t)
	at, err := p.owner.Start(t.Context(), endpoint, order)
	if err != nil || at != 42 {
		t.Fatalf("the start is answered with %v, %v, want 42 and no error", at, err)
	}
	got := p.delegate.started()
	if len(got) != 1 || got[0] != order {
		t.Errorf("the delegate received the starts %+v, want %+v", got, order)
	}
}

// A report that an instance returns to the delegate must reach the owner unchanged.
func TestReportsReachTheOwnerUnchanged(t *testing.T) {
	p := newPair(t)
	p.connect(t)
	want := pointport.Report{
		Clock:   5,
		Running: []pointport.RunningTask{{TaskRun: pointport.TaskRun{Task: "a.0.0.1", Run: 2}, Checkpoint: "s", Progress: 40, Load: 7}},
		Ended:   []pointport.TaskEnd{{Number: 3, TaskRun: pointport.TaskRun{Task: "a.0.0.0", Run: 1}, Kind: pointport.EndDone}},
	}
	p.delegate.report = want
	got, err := p.owner.Poll(t.Context(), endpoint, pointport.PollOrder{Fence: 7, LeaseUntil: 9, Acknowledged: 2, Wait: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	a, _ := json.Marshal(want)
	b, _ := json.Marshal(got)
	if string(a) != string(b) {
		t.Errorf("report is %s, want %s", b, a)
	}
}

// Guards against a failure that reaches the owner as a different one. Above all, the owner must
// learn whether the order may have been executed.
func TestFailuresReachTheOwnerUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newOrderLine(opStop, endpoint, pointport.TaskRun{Task: "a.0.0.0", Run: 1}, 7)
		cause := errors.New(rapid.String().Draw(t, "cause"))
		err := rapid.SampledFrom([]error{
			nil,
			&pointport.RejectedError{Incarnation: "i-1", Reason: pointport.RejectNoCapacity},
			&pointport.RejectedError{Incarnation: "i-1", Reason: pointport.RejectFence},
			&pointport.GoneError{Incarnation: "i-1"},
			&pointport.GoneError{Incarnation: "i-1", AnsweredBy: "i-1@5"},
			&pointport.UnavailableError{Op: "stop", Key: "a.0.0.0", Err: cause},
			&pointport.UnavailableError{Op: "stop", Key: "a.0.0.0", Ambiguous: true, Err: cause},
		}).Draw(t, "err")
		data, encodeErr := json.Marshal(resultLine{Number: 1, Failed: failureOf(err)})
		var back resultLine
		if decodeErr := json.Unmarshal(data, &back); errors.Join(encodeErr, decodeErr) != nil {
			t.Fatal(encodeErr, decodeErr)
		}
		got := back.Failed.err(o)
		var unavailable, gotUnavailable *pointport.UnavailableError
		switch {
		case err == nil:
			if got != nil {
				t.Fatalf("no error is decoded as %v", got)
			}
		case errors.As(err, &unavailable):
			if !errors.As(got, &gotUnavailable) || gotUnavailable.Ambiguous != unavailable.Ambiguous {
				t.Fatalf("%v is decoded as %v", err, got)
			}
		case got == nil || got.Error() != err.Error():
			t.Fatalf("%v is decoded as %v", err, got)
		}
	})
}

// The payload of a job must be sent to a delegate only once, so that a start takes a fifth of the
// bytes that a direct start takes.
func TestPayloadIsSentOnce(t *testing.T) {
	p := newPair(t)
	p.connect(t)
	const tasks, payload = 16, 800
	text := strings.Repeat("x", payload)
	before := p.sent.Load()
	for n := range tasks {
		o := pointport.StartOrder{TaskRun: pointport.TaskRun{Task: "5c0e7a21d94b36f8.0.1.17", Run: n}, Payload: text, Fence: 12345, LeaseUntil: 1e12}
		if _, err := p.owner.Start(t.Context(), endpoint, o); err != nil {
			t.Fatal(err)
		}
	}
	for n, o := range p.delegate.started() {
		if o.Payload != text {
			t.Errorf("start %d has a payload of %d bytes, want %d", n, len(o.Payload), payload)
		}
	}
	const most = 200 // bytes, of the 970 of a direct start
	if each := (p.sent.Load() - before) / tasks; each > most {
		t.Errorf("a start takes %d bytes, want at most %d", each, most)
	}
}

// Each start must get its own payload, also if there are more payloads than slots and slots are
// reused.
func TestStartsGetTheirOwnPayloads(t *testing.T) {
	p := newPair(t)
	p.connect(t)
	for n := range 3 * payloadSlots {
		text := strings.Repeat("x", n%(payloadSlots+7))
		if _, err := p.owner.Start(t.Context(), endpoint, pointport.StartOrder{TaskRun: pointport.TaskRun{Run: len(text)}, Payload: text}); err != nil {
			t.Fatal(err)
		}
	}
	for _, o := range p.delegate.started() {
		if len(o.Payload) != o.Run {
			t.Fatalf("a start has a payload of %d bytes, want %d", len(o.Payload), o.Run)
		}
	}
}

// After a delegate is lost, orders without a result must have an unknown effect and must not be
// sent directly as well. Later orders must be sent directly.
func TestLostDelegateLeavesEffectUnknown(t *testing.T) {
	for name, lose := range map[string]func(*pair){
		"connection reset": func(p *pair) { p.server.CloseClientConnections() },
		"silence":          func(*pair) {},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPair(t)
			p.connect(t)
			block := make(chan struct{})
			p.delegate.mu.Lock()
			p.delegate.block = block
			p.delegate.mu.Unlock()
			defer close(block)
			failed := make(chan error, 1)
			go func() {
				_, err := p.owner.Start(t.Context(), endpoint, pointport.StartOrder{Payload: "x"})
				failed <- err
			}()
			time.Sleep(50 * time.Millisecond)
			lose(p)
			var unavailable *pointport.UnavailableError
			if err := <-failed; !errors.As(err, &unavailable) || !unavailable.Ambiguous {
				t.Fatalf("the start ended with %v, want an unavailable error with an unknown effect", err)
			}
			if n := len(p.direct.started()); n != 0 {
				t.Fatalf("%d starts were also sent directly, want 0", n)
			}
			if _, err := p.owner.Start(t.Context(), endpoint, pointport.StartOrder{Payload: "y"}); err != nil {
				t.Fatal(err)
			}
			if n := len(p.direct.started()); n != 1 {
				t.Errorf("%d of the starts after it were sent directly, want 1", n)
			}
		})
	}
}

// An unreachable delegate must not delay or fail any order: all are sent directly.
func TestUnreachableDelegateIsNotUsed(t *testing.T) {
	p := newPair(t)
	p.server.Close()
	for range 20 {
		if _, err := p.owner.Start(t.Context(), endpoint, pointport.StartOrder{Payload: "x"}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Millisecond)
	}
	if n := len(p.direct.started()); n != 20 {
		t.Errorf("%d direct starts, want 20", n)
	}
}

// Guards against an owner that spends its processor time on ranking members: it must not rank them
// for each order.
func TestCandidatesAreCached(t *testing.T) {
	p := newPair(t)
	var asked atomic.Int64
	listCandidates := p.owner.listCandidates
	p.owner.listCandidates = func(most int) []member.Member {
		asked.Add(1)
		return listCandidates(most)
	}
	from := time.Now()
	for range 200 {
		if _, err := p.owner.Start(t.Context(), endpoint, pointport.StartOrder{Payload: "x"}); err != nil {
			t.Fatal(err)
		}
	}
	if most := int64(time.Since(from)/candidatesInterval) + 1; asked.Load() > most {
		t.Errorf("members are ranked %d times for 200 orders in %v, want at most %d", asked.Load(), time.Since(from), most)
	}
}

// Guards against an instance that is considered silent because its delegate is cut off. The
// instance answers the owner's direct poll, and the delegate must not be used for a while.
func TestDelegateThatIsCutOffIsAvoided(t *testing.T) {
	p := newPair(t)
	p.connect(t)
	p.delegate.mu.Lock()
	p.delegate.err = &pointport.UnavailableError{Op: "hold", Ambiguous: true, Err: errors.New("no route")}
	p.delegate.mu.Unlock()
	p.direct.report = pointport.Report{Clock: 8}
	report, err := p.owner.Poll(t.Context(), endpoint, pointport.PollOrder{Wait: time.Second})
	if err != nil || report.Clock != 8 {
		t.Fatalf("the poll returned %+v, %v, want a report with clock 8", report, err)
	}
	if _, err := p.owner.Start(t.Context(), endpoint, pointport.StartOrder{}); err != nil || len(p.direct.started()) != 1 {
		t.Errorf("the next start ended with %v, and %d starts were sent directly, want 1", err, len(p.direct.started()))
	}
}

// If an instance answers neither the delegate nor the owner, the instance is silent, and the stream
// to the delegate must stay open.
func TestSilentInstanceDoesNotCloseTheStream(t *testing.T) {
	p := newPair(t)
	p.connect(t)
	silent := &pointport.UnavailableError{Op: "hold", Ambiguous: true, Err: errors.New("no answer")}
	p.delegate.mu.Lock()
	p.delegate.err = silent
	p.delegate.mu.Unlock()
	p.direct.mu.Lock()
	p.direct.err = silent
	p.direct.mu.Unlock()
	var unavailable *pointport.UnavailableError
	if _, err := p.owner.Poll(t.Context(), endpoint, pointport.PollOrder{}); !errors.As(err, &unavailable) {
		t.Fatalf("the poll ended with %v, want an unavailable error", err)
	}
	p.owner.mu.Lock()
	defer p.owner.mu.Unlock()
	if len(p.owner.streams) != 1 {
		t.Error("the stream to the delegate is closed although the instance is at fault")
	}
}
