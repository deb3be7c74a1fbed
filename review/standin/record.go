package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// A recorder writes what was sent, answered and run to a file, a line each with the milliseconds
// since the start.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: file, start: time.Now()}, nil
}

// now returns the time since the start.
func (r *recorder) now() time.Duration { return time.Since(r.start) }

// line writes a line. A line that cannot be written is shown on standard error.
func (r *recorder) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, err := fmt.Fprintf(r.file, "%8d %s\n", r.now().Milliseconds(), fmt.Sprintf(format, args...)); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
}
