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

// TestAtMostOnce sends requests of every kind of work to upstreams that fail in any
// order. It checks that work that must not be repeated starts at most once, that
// work that started is never refused with ran=no, and that the body of a complete
// answer is correct.
func TestAtMostOnce(t *testing.T) {
	steps := []string{"answer", "chunked", "fail", "not-run", "close-after-read", "cut-length", "cut-chunked", "unframed", "answer-and-close"}
	s := &script{release: make(chan struct{})}
	g := newTestGateway(t, "30s", serveScript(t, s), serveScript(t, s), serveScript(t, s))
	serial := 0
	rapid.Check(t, func(rt *rapid.T) {
		for range rapid.IntRange(1, 10).Draw(rt, "requests") {
			serial++
			work := rapid.SampledFrom([]string{"repeatable", "single", "keyed"}).Draw(rt, "work")
			drawn := rapid.SliceOfN(rapid.SampledFrom(steps), 0, 4).Draw(rt, "steps")
			body := fmt.Sprint("request ", serial)
			s.setSteps(drawn)
			got := g.ask(t, http.MethodPost, "/"+work, map[bool]string{true: body}[work == "keyed"], body)
			started := s.started(body)
			if work != "repeatable" && started > 1 {
				rt.Fatalf("%s work started %d times with %v", work, started, drawn)
			}
			if got.ran == "no" && started > 0 {
				rt.Fatalf("%s work was refused as not run and started %d times with %v", work, started, drawn)
			}
			if got.status == http.StatusOK && got.body != wholeBody {
				rt.Fatalf("%s work got %q with %v", work, got.body, drawn)
			}
		}
	})
}

// TestSlowCaller checks that a request whose body stops half way ends at its
// deadline and does not occupy an upstream until then.
func TestSlowCaller(t *testing.T) {
	s := &script{release: make(chan struct{})}
	g := newTestGateway(t, "200ms", serveScript(t, s))
	half, done := halfBody()
	defer close(done)
	req, err := http.NewRequest(http.MethodPost, g.url+"/single", half)
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

// halfBody returns a body that blocks after its first half until the channel is
// closed.
func halfBody() (*blockingReader, chan struct{}) {
	done := make(chan struct{})
	return &blockingReader{first: strings.NewReader("half"), done: done}, done
}

// A blockingReader reads first, blocks until done is closed, and fails.
type blockingReader struct {
	first *strings.Reader
	done  chan struct{}
}

func (r *blockingReader) Read(p []byte) (int, error) {
	if r.first.Len() > 0 {
		return r.first.Read(p)
	}
	<-r.done
	return 0, fmt.Errorf("the caller stopped sending")
}

// TestCallerThatReadsNothing checks that the upstream is released at the deadline
// if the caller does not read a long answer.
func TestCallerThatReadsNothing(t *testing.T) {
	s := &script{steps: []string{"endless"}, release: make(chan struct{})}
	g := newTestGateway(t, "200ms", serveScript(t, s))
	conn, err := net.Dial("tcp", strings.TrimPrefix(g.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprint(conn, "GET /repeatable HTTP/1.1\r\nHost: a\r\n\r\n")
	waitUntil(t, "the request reaches the upstream", func() bool { return s.count() == 1 })
	waitUntil(t, "the upstream is released", func() bool { return g.gateway.Status()[0].Upstreams[0].InFlight == 0 })
}
