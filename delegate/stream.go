package delegate

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pointport/pointport"
)

// This file defines an owner's stream of orders to one delegate.

const (
	// linesMost is how many orders may wait to be written to a stream. Where more
	// would, the delegate takes too little, and the order is sent directly.
	linesMost = 512
	// openTimeout is within what time a delegate takes a stream. Peers are a
	// millisecond away; a busy one takes some tens.
	openTimeout = 300 * time.Millisecond
)

var (
	errClosed = errors.New("the stream to the delegate has ended")
	errFull   = errors.New("the delegate takes no more orders")
)

// A stream carries orders to one delegate. It is safe for concurrent use.
type stream struct {
	name   string // of the delegate
	lines  chan orderLine
	cancel context.CancelFunc
	done   chan struct{} // closed when the stream has ended

	mu       sync.Mutex
	number   int64
	pending  map[int64]chan resultLine
	slots    [payloadSlots]string
	slotOf   map[string]int
	nextSlot int
	heard    time.Time // when the last result came
	err      error     // why the stream has ended
}

// open begins a stream to the member at url. It ends with ctx.
func open(ctx context.Context, client *http.Client, clock pointport.Clock, name, url string) (*stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	s := &stream{
		name: name, lines: make(chan orderLine, linesMost), cancel: cancel, done: make(chan struct{}),
		pending: make(map[int64]chan resultLine), slotOf: make(map[string]int), heard: clock.Now(),
	}
	reader, writer := io.Pipe()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+Path, reader)
	if err != nil {
		cancel()
		return nil, err
	}
	type opened struct {
		res *http.Response
		err error
	}
	answer := make(chan opened, 1)
	go func() {
		res, err := client.Do(req)
		answer <- opened{res, err}
	}()
	select {
	case a := <-answer:
		if a.err == nil && a.res.StatusCode != http.StatusOK {
			_ = a.res.Body.Close() // nothing of it is of use
			a.err = fmt.Errorf("member %s answers %s", name, a.res.Status)
		}
		if a.err != nil {
			cancel()
			return nil, a.err
		}
		go s.write(ctx, writer)
		go s.read(a.res.Body, clock)
		return s, nil
	case <-clock.After(openTimeout):
		cancel()
		return nil, fmt.Errorf("member %s takes no stream within %v", name, openTimeout)
	}
}

// write writes orders as they come, those that are there already at once.
func (s *stream) write(ctx context.Context, out *io.PipeWriter) {
	buffer := bufio.NewWriterSize(out, streamBuffer)
	lines := json.NewEncoder(buffer)
	for {
		var err error
		select {
		case line := <-s.lines:
			err = lines.Encode(line)
		case <-ctx.Done():
			_ = out.CloseWithError(ctx.Err()) // it never fails
			return
		}
		if err == nil && len(s.lines) == 0 {
			err = buffer.Flush()
		}
		if err != nil {
			s.end(err)
			return
		}
	}
}

// read takes in results until the stream ends.
func (s *stream) read(body io.ReadCloser, clock pointport.Clock) {
	defer body.Close()
	lines := json.NewDecoder(bufio.NewReaderSize(body, streamBuffer))
	for {
		var result resultLine
		if err := lines.Decode(&result); err != nil {
			s.end(err)
			return
		}
		s.mu.Lock()
		s.heard = clock.Now()
		answer := s.pending[result.Number]
		delete(s.pending, result.Number)
		s.mu.Unlock()
		if answer != nil {
			answer <- result
		}
	}
}

// end ends the stream. Whatever has no result has an unknown effect.
func (s *stream) end(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return
	}
	s.err = err
	s.cancel()
	close(s.done)
}

// ended reports whether the stream has ended.
func (s *stream) ended() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err != nil
}

// silentSince reports whether no result has come since a time.
func (s *stream) silentSince(t time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.heard.Before(t)
}

// put puts an order on the stream, the payload of a start in a slot.
func (s *stream) put(o orderLine, payload string) (int64, chan resultLine, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return 0, nil, errClosed
	}
	if len(s.lines) == cap(s.lines) {
		return 0, nil, errFull
	}
	if o.Start != nil {
		s.place(o.Start, payload)
	}
	s.number++
	o.Number = s.number
	answer := make(chan resultLine, 1)
	s.pending[o.Number] = answer
	s.lines <- o // there is room, and nobody else puts
	return o.Number, answer, nil
}

// place names the slot of a payload, which is sent along if it is in none. The lock is
// held.
func (s *stream) place(start *startLine, payload string) {
	slot, ok := s.slotOf[payload]
	if !ok {
		slot = s.nextSlot
		s.nextSlot = (s.nextSlot + 1) % payloadSlots
		delete(s.slotOf, s.slots[slot])
		s.slots[slot], s.slotOf[payload] = payload, slot
		start.Payload = &payload
	}
	start.Slot = slot
}

// forget drops an order for which nobody waits any more.
func (s *stream) forget(number int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pending, number)
}
