package event

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/pointport/pointport"
)

// This file defines the sink, which accepts log lines without blocking and writes many of
// them at once.

const (
	// maxWaitingBytes limits the lines that wait to be written. Further lines are
	// dropped and counted.
	maxWaitingBytes = 512 << 10
	// flushDelay is how long lines wait for others before they are written. Each write
	// is a system call, which costs more than adding the lines.
	flushDelay = 100 * time.Millisecond
	// maxWriteBytes limits the bytes of one write, unless a single line is longer. Log
	// collectors keep the first 8 KB of a write and cut off the rest: in a day with
	// three outages of the store on 350 instances, they collected 21,416 of 39,210
	// lines, and the missing ones were those of the busiest tenths of a second.
	maxWriteBytes = 8 << 10
)

// A Sink is a writer of log lines that does not block its callers. It drops lines that come
// faster than they can be written. It is safe for concurrent use.
type Sink struct {
	out   io.Writer
	clock pointport.Clock

	mu           sync.Mutex
	waiting      []byte        // lines to write
	spare        []byte        // buffer of lines that were written, for reuse
	unreported   int           // lines dropped since the last flush
	droppedTotal int64         // lines dropped since the start
	wake         chan struct{} // receives a value when lines wait; closed by Close
	closed       bool
	done         chan struct{} // closed after the last flush
}

// StartSink returns a sink that writes to out until Close.
func StartSink(out io.Writer, clock pointport.Clock) *Sink {
	s := &Sink{out: out, clock: clock, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go func() {
		defer close(s.done)
		for range s.wake {
			<-s.clock.After(flushDelay)
			s.flush()
		}
		s.flush()
	}()
	return s
}

// Write accepts a line to be written later. If too many bytes wait already, or the sink is
// closed, it drops and counts the line. It never fails.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.waiting)+len(line) > maxWaitingBytes {
		s.unreported++
		s.droppedTotal++
		return len(line), nil
	}
	s.waiting = append(s.waiting, line...)
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped returns the total number of lines that were dropped.
func (s *Sink) Dropped() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.droppedTotal
}

// flush writes the waiting lines, and a line with the number of dropped ones if there are
// any.
func (s *Sink) flush() {
	s.mu.Lock()
	lines, unreported := s.waiting, s.unreported
	s.waiting, s.unreported = s.spare[:0], 0
	s.mu.Unlock()
	if unreported > 0 {
		lines = fmt.Appendf(lines, `{"level":"WARN","msg":%q,"event":%d,"lines":%d}`+"\n", LinesDropped.Name(), LinesDropped.Number(), unreported)
	}
	for rest := lines; len(rest) > 0; {
		chunk := firstChunk(rest)
		// There is nowhere to report that the log cannot be written.
		_, _ = s.out.Write(chunk)
		rest = rest[len(chunk):]
	}
	s.mu.Lock()
	s.spare = lines
	s.mu.Unlock()
}

// firstChunk returns as many whole lines as may be written at once, and at least one.
func firstChunk(lines []byte) []byte {
	if len(lines) <= maxWriteBytes {
		return lines
	}
	if n := bytes.LastIndexByte(lines[:maxWriteBytes], '\n'); n >= 0 {
		return lines[:n+1]
	}
	if n := bytes.IndexByte(lines, '\n'); n >= 0 {
		return lines[:n+1]
	}
	return lines
}

// Close writes the waiting lines. Lines that come later are dropped.
func (s *Sink) Close() {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return
	}
	s.closed = true
	close(s.wake)
	s.mu.Unlock()
	<-s.done
}
