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

// This file defines an owner's side of a stream of orders to one delegate.

const (
	// maxQueuedOrders is how many orders may wait to be written to a stream. If the queue is
	// full, the delegate reads too slowly, and the order is sent directly.
	maxQueuedOrders = 512
	// openTimeout is the time within which a delegate must accept a stream. Peers are a
	// millisecond away, and a busy peer takes some tens of milliseconds.
	openTimeout = 300 * time.Millisecond
)

var (
	errClosed = errors.New("the stream to the delegate has ended")
	errFull   = errors.New("the queue of orders to the delegate is full")
)

// A stream sends orders to one delegate and receives their results. It is safe for concurrent
// use.
type stream struct {
	name   string // of the delegate
	lines  chan orderLine
	cancel context.CancelFunc
	done   chan struct{} // closed when the stream has ended

	mu         sync.Mutex
	number     int64
	pending    map[int64]chan resultLine
	slots      [payloadSlots]string
	slotOf     map[string]int
	nextSlot   int
	lastResult time.Time // when the last result arrived, at first when the stream was created
	err        error     // why the stream has ended
}

// open opens a stream to the member at url. The stream ends with ctx.
func open(ctx context.Context, client *http.Client, clock pointport.Clock, name, url string) (*stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	s := &stream{
		name: name, lines: make(chan orderLine, maxQueuedOrders), cancel: cancel, done: make(chan struct{}),
		pending: make(map[int64]chan resultLine), slotOf: make(map[string]int), lastResult: clock.Now(),
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
			_ = a.res.Body.Close() // the body is not needed
			a.err = fmt.Errorf("member %s rejected the stream: %s", name, a.res.Status)
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
		return nil, fmt.Errorf("member %s did not accept the stream within %v", name, openTimeout)
	}
}

// write writes orders as they arrive. It flushes once no further order is queued.
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

// read delivers results until the stream ends.
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
		s.lastResult = clock.Now()
		answer := s.pending[result.Number]
		delete(s.pending, result.Number)
		s.mu.Unlock()
		if answer != nil {
			answer <- result
		}
	}
}

// end ends the stream. Orders without a result have an unknown effect.
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

// silentSince reports whether no result has arrived since t.
func (s *stream) silentSince(t time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastResult.Before(t)
}

// enqueue queues an order and returns its number and the channel for its result. It assigns the
// payload of a start to a slot.
func (s *stream) enqueue(o orderLine, payload string) (int64, chan resultLine, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return 0, nil, errClosed
	}
	if len(s.lines) == cap(s.lines) {
		return 0, nil, errFull
	}
	if o.Start != nil {
		s.assignSlot(o.Start, payload)
	}
	s.number++
	o.Number = s.number
	answer := make(chan resultLine, 1)
	s.pending[o.Number] = answer
	s.lines <- o // does not block: the queue is large enough, and only the holder of the lock adds to it
	return o.Number, answer, nil
}

// assignSlot sets the payload slot of a start. If no slot has the payload, it is sent along and
// replaces the payload that was sent first of those in slots. The caller holds the lock.
func (s *stream) assignSlot(start *startLine, payload string) {
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

// forget removes an order whose caller no longer waits for the result.
func (s *stream) forget(number int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pending, number)
}
