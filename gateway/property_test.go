package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"pgregory.net/rapid"

	_ "github.com/pointport/pointport/internal/fixedseed"
)

// TestHonestAndOnce sends requests of every kind of work to upstreams that fail
// in any order. Work that may not be repeated starts at most once, "not run" is
// never said of work that started, and a whole answer is the request's own.
func TestHonestAndOnce(t *testing.T) {
	steps := []string{"answer", "chunked", "fail", "not-run", "close-after-read", "cut-length", "cut-chunked", "unframed", "answer-and-close"}
	s := &script{release: make(chan struct{})}
	b := newBench(t, "30s", serveScript(t, s), serveScript(t, s), serveScript(t, s))
	serial := 0
	rapid.Check(t, func(rt *rapid.T) {
		for range rapid.IntRange(1, 10).Draw(rt, "requests") {
			serial++
			work := rapid.SampledFrom([]string{"repeatable", "single", "keyed"}).Draw(rt, "work")
			plan := rapid.SliceOfN(rapid.SampledFrom(steps), 0, 4).Draw(rt, "plan")
			body := fmt.Sprint("request ", serial)
			s.plan(plan)
			got := b.ask(t, http.MethodPost, "/"+work, map[bool]string{true: body}[work == "keyed"], body)
			started := s.started(body)
			if work != "repeatable" && started > 1 {
				rt.Fatalf("%s work started %d times with %v", work, started, plan)
			}
			if got.ran == "no" && started > 0 {
				rt.Fatalf("%s work was refused as not run and started %d times with %v", work, started, plan)
			}
			if got.status == http.StatusOK && got.body != wholeBody {
				rt.Fatalf("%s work got %q with %v", work, got.body, plan)
			}
		}
	})
}

// TestSlowCaller sends half a body. The request must end at its deadline, and
// hold no upstream meanwhile.
func TestSlowCaller(t *testing.T) {
	s := &script{release: make(chan struct{})}
	b := newBench(t, "200ms", serveScript(t, s))
	half, done := halfBody()
	defer close(done)
	req, err := http.NewRequest(http.MethodPost, b.url+"/single", half)
	if err != nil {
		t.Fatal(err)
	}
	req.ContentLength = 100
	if got := send(t, req); got.status == http.StatusOK || got.ran == "unknown" {
		t.Errorf("got %+v, want a refusal as not run or a broken connection", got)
	}
	if n := s.count(); n != 0 {
		t.Errorf("%d requests reached the upstream", n)
	}
}

// halfBody returns a body that stops half way until done is closed.
func halfBody() (*stuckReader, chan struct{}) {
	done := make(chan struct{})
	return &stuckReader{first: strings.NewReader("half"), done: done}, done
}

type stuckReader struct {
	first *strings.Reader
	done  chan struct{}
}

func (r *stuckReader) Read(p []byte) (int, error) {
	if r.first.Len() > 0 {
		return r.first.Read(p)
	}
	<-r.done
	return 0, fmt.Errorf("the caller gives up")
}

// TestCallerThatTakesNothing asks for a long answer and reads none of it. The
// upstream must be let go.
func TestCallerThatTakesNothing(t *testing.T) {
	s := &script{steps: []string{"endless"}, release: make(chan struct{})}
	b := newBench(t, "200ms", serveScript(t, s))
	conn, err := net.Dial("tcp", strings.TrimPrefix(b.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprint(conn, "GET /repeatable HTTP/1.1\r\nHost: a\r\n\r\n")
	until(t, "the request reaches the upstream", func() bool { return s.count() == 1 })
	until(t, "the upstream is let go", func() bool { return b.gateway.Status()[0].Upstreams[0].InFlight == 0 })
}
