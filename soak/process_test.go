package soak

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pointport/pointport/platform"
)

// This file defines an entry instance as a process, and what is done to it.

// An entry is an entry instance. Its process is started anew whenever it has
// ended.
type entry struct {
	name         string
	settings     *platform.Settings
	path         string // of its settings file
	logPath      string
	store        *proxy
	machines     *proxy
	releasePorts func() // of the ports

	mu      sync.Mutex
	process *os.Process
	ended   chan struct{} // closed when the process has ended
	starts  int
	downFor time.Duration // how long the process stays down once it has ended
	closing bool
	// undisturbedSince is since when nothing was done to the entry, stopping whether it was told
	// to end as planned.
	undisturbedSince time.Time
	stopping         bool
	// logPausedUntil is until when nobody reads what the process says.
	logPausedUntil time.Time
}

// portsPerEntry is how many ports in a row an entry takes.
const portsPerEntry = 4

// reservePorts returns the first of some ports in a row that are free, and a release
// of them. They stay free while the entry's process is down only because every run
// on the machine takes a lock on them first: two runs that shared ports had
// customers of one ask entries of the other.
func reservePorts(r *rand.Rand) (first int, release func(), err error) {
	for range 200 {
		first := 20000 + portsPerEntry*r.IntN(5000)
		lock, err := os.OpenFile(filepath.Join(os.TempDir(), fmt.Sprintf("pointport-soak-%d.lock", first)), os.O_CREATE|os.O_RDWR, 0o600)
		if err != nil {
			return 0, nil, err
		}
		if syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) != nil || !portsFree(first) {
			_ = lock.Close() // another run has them
			continue
		}
		return first, func() { _ = lock.Close() }, nil
	}
	return 0, nil, fmt.Errorf("no %d free ports in a row", portsPerEntry)
}

// portsFree reports whether nobody listens on the ports of an entry.
func portsFree(first int) bool {
	for n := range portsPerEntry {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first+n))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// writeSettings writes the settings file.
func (e *entry) writeSettings() error {
	data, err := e.settings.Encode()
	if err != nil {
		return err
	}
	return os.WriteFile(e.path, data, 0o600)
}

// restartDelay is how long a process that has ended stays down as a rule.
const restartDelay = 200 * time.Millisecond

// supervise starts the process, and starts it anew whenever it has ended, until
// the entry is closed. fail is told of a process that cannot be started.
func (e *entry) supervise(fail func(format string, args ...any)) error {
	if err := e.start(); err != nil {
		return err
	}
	go func() {
		for {
			<-e.ended // set by this goroutine alone
			e.mu.Lock()
			down := max(e.downFor, restartDelay)
			e.downFor = 0
			e.mu.Unlock()
			time.Sleep(down)
			e.mu.Lock()
			closing := e.closing
			e.mu.Unlock()
			if closing {
				return
			}
			if err := e.start(); err != nil {
				fail("%s cannot be started: %v", e.name, err)
				return
			}
		}
	}()
	return nil
}

// start starts the process.
func (e *entry) start() error {
	said, err := e.openLog()
	if err != nil {
		return err
	}
	defer said.Close()
	cmd := exec.Command(program, "join", "-settings="+e.path)
	cmd.Stdout, cmd.Stderr = said, said
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	e.mu.Lock()
	defer e.mu.Unlock()
	e.process, e.ended, e.stopping = cmd.Process, ended, false
	e.starts++
	go func() {
		_ = cmd.Wait() // how it ended is in the log
		close(ended)
	}()
	return nil
}

// openLog returns where a process writes what it says, which gets into the log.
func (e *entry) openLog() (*os.File, error) {
	log, err := os.OpenFile(e.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	near, far, err := os.Pipe()
	if err != nil {
		return nil, errors.Join(err, log.Close())
	}
	if _, _, no := syscall.Syscall(syscall.SYS_FCNTL, far.Fd(), setPipeSize, pipeSize); no != 0 {
		return nil, errors.Join(no, near.Close(), far.Close(), log.Close())
	}
	go e.copyLog(log, near)
	return far, nil
}

const (
	// setPipeSize is Linux's F_SETPIPE_SZ, which package syscall does not name.
	setPipeSize = 1031
	// pipeSize is how many bytes a process can say that nobody reads: the least that
	// Linux allows, so that some ten lines fill it.
	pipeSize = 4096
)

// copyLog copies what a process says into the log until the process has ended.
func (e *entry) copyLog(log io.WriteCloser, said io.ReadCloser) {
	defer log.Close()
	defer said.Close()
	buf := make([]byte, pipeSize)
	for {
		e.mu.Lock()
		unread := time.Until(e.logPausedUntil)
		e.mu.Unlock()
		time.Sleep(unread)
		n, err := said.Read(buf)
		if _, werr := log.Write(buf[:n]); err != nil || werr != nil {
			return
		}
	}
}

// pauseLog has nobody read what the process says for a while.
func (e *entry) pauseLog(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.logPausedUntil = time.Now().Add(d)
}

// signal sends the process a signal, after which it stays down for so long if it
// ends. Only the process that this entry has started is reached.
func (e *entry) signal(s syscall.Signal, down time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-e.ended:
	default:
		e.downFor = down
		e.stopping = e.stopping || s == syscall.SIGTERM
		_ = e.process.Signal(s)
	}
}

// close ends the process for good.
func (e *entry) close() {
	e.mu.Lock()
	e.closing = true
	ended := e.ended
	e.mu.Unlock()
	e.signal(syscall.SIGCONT, 0)
	e.signal(syscall.SIGKILL, 0)
	<-ended
	e.store.close()
	e.machines.close()
	e.releasePorts()
}

// noteDisturbance notes that something is done to the entry now.
func (e *entry) noteDisturbance() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.undisturbedSince = time.Now()
}

// program is the path of pointportd.
var program string

// buildProgram builds pointportd into a directory.
func buildProgram(dir string) error {
	program = filepath.Join(dir, "pointportd")
	out, err := exec.Command("go", "build", "-o", program, "github.com/pointport/pointport/cmd/pointportd").CombinedOutput()
	if err != nil {
		return fmt.Errorf("%w\n%s", err, out)
	}
	return nil
}
