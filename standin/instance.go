package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pointport/pointport"
)

// This file defines an instance: an HTTP server with slots, a connection limit and faults.

// Headers that a simulated instance reads and sets.
const (
	// HeaderWork sets the run time of a request in place of the instance's default.
	HeaderWork = "X-Standin-Work"
	// HeaderStream asks for the answer in this many pieces, spread over the run time.
	HeaderStream = "X-Standin-Stream"
	// HeaderInstance names the instance that answered.
	HeaderInstance = "X-Standin-Instance"
	// HeaderNotRun marks the answer to a request that was refused before it ran.
	HeaderNotRun = "X-Not-Run"
	// HeaderLeaving marks the answers of an instance that is leaving.
	HeaderLeaving = "X-Leaving"
	// HeaderKey is the caller's idempotency key.
	HeaderKey = "Idempotency-Key"
)

// A Mode is the fault, if any, with which an instance behaves.
type Mode string

// The modes of an instance.
const (
	ModeNormal Mode = ""
	ModeFail   Mode = "fail"   // answers 500 at once
	ModeSlow   Mode = "slow"   // takes ten times as long
	ModeNotRun Mode = "notrun" // refuses everything before it runs
	ModeCut    Mode = "cut"    // truncates its answers
)

const (
	// DefaultSlots is how many requests an instance runs at once.
	DefaultSlots = 8
	// DefaultConnections is how many connections an instance accepts.
	DefaultConnections = 64
	// slowFactor is how many times longer a request takes in ModeSlow.
	slowFactor = 10
	// slotTimeout is how long a request waits for a free slot before the instance refuses it.
	slotTimeout = 500 * time.Millisecond
	// maxBody is how much of a request's body an instance reads, in bytes.
	maxBody = 8 << 20
	// serviceSpread is the largest random deviation from the run time, as a fraction of it.
	serviceSpread = 0.5
)

// An Instance is one worker with an HTTP server. It is safe for concurrent use.
type Instance struct {
	fleet       *Fleet
	slots       chan struct{}
	serviceTime time.Duration

	inFlight    atomic.Int64
	served      atomic.Int64
	conns       atomic.Int64
	maxConns    atomic.Int64
	interrupted atomic.Int64 // requests that were in flight at a reboot

	mu     sync.Mutex
	info   pointport.Instance
	mode   Mode
	server *http.Server
	ran    map[string]int // number of runs by key
}

// ID returns the instance's ID.
func (i *Instance) ID() pointport.InstanceID { return i.Info().ID }

// Info returns the instance's current description, without the lag of the fleet's list.
func (i *Instance) Info() pointport.Instance {
	i.mu.Lock()
	info := i.info
	i.mu.Unlock()
	// runningTasksOn takes the fleet's lock, which must never be taken while an instance's lock is
	// held.
	info.InFlight = i.inFlight.Load() + i.fleet.runningTasksOn(info.ID)
	info.Reported = i.fleet.clock.Now()
	return info
}

// Served returns how many requests the instance has run.
func (i *Instance) Served() int64 { return i.served.Load() }

// MaxConns returns the highest number of connections that were open at once.
func (i *Instance) MaxConns() int64 { return i.maxConns.Load() }

// Interrupted returns how many requests were in flight when the instance was rebooted.
func (i *Instance) Interrupted() int64 { return i.interrupted.Load() }

// Runs returns how many times each key has run on this instance.
func (i *Instance) Runs() map[string]int {
	i.mu.Lock()
	defer i.mu.Unlock()
	runs := make(map[string]int, len(i.ran))
	for k, n := range i.ran {
		runs[k] = n
	}
	return runs
}

// SetMode sets the mode of the instance.
func (i *Instance) SetMode(m Mode) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.mode = m
}

func (i *Instance) setState(s pointport.InstanceState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.info.State = s
}

func (i *Instance) snapshot() (Mode, pointport.InstanceState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.mode, i.info.State
}

// listen starts the server on the instance's address, or on a new address if it has none.
func (i *Instance) listen() error {
	addr := i.Info().Address
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("instance %s: %w", i.ID(), err)
	}
	srv := &http.Server{Handler: i, ConnState: i.countConn, ReadHeaderTimeout: time.Minute}
	i.mu.Lock()
	i.info.Address = l.Addr().String()
	i.info.State = pointport.InstanceLive
	i.server = srv
	i.mu.Unlock()
	go func() {
		if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			i.setState(pointport.InstanceDown)
		}
	}()
	return nil
}

// Kill closes the listener and every connection at once.
func (i *Instance) Kill() {
	i.mu.Lock()
	srv := i.server
	i.info.State = pointport.InstanceDown
	i.mu.Unlock()
	if srv != nil {
		_ = srv.Close()
	}
}

// Start restarts a killed instance and increments its boot count.
func (i *Instance) Start() error {
	i.mu.Lock()
	i.info.Boots++
	i.mu.Unlock()
	return i.listen()
}

func (i *Instance) countConn(c net.Conn, s http.ConnState) {
	switch s {
	case http.StateNew:
		n := i.conns.Add(1)
		for {
			highest := i.maxConns.Load()
			if n <= highest || i.maxConns.CompareAndSwap(highest, n) {
				break
			}
		}
		if n > DefaultConnections {
			_ = c.Close()
		}
	case http.StateClosed, http.StateHijacked:
		i.conns.Add(-1)
	}
}

// ServeHTTP runs one request.
func (i *Instance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	i.inFlight.Add(1)
	defer i.inFlight.Add(-1)
	mode, state := i.snapshot()
	w.Header().Set(HeaderInstance, string(i.ID()))
	if state == pointport.InstanceLeaving {
		w.Header().Set(HeaderLeaving, "true")
	}
	switch mode {
	case ModeFail:
		http.Error(w, "this instance fails everything", http.StatusInternalServerError)
		return
	case ModeNotRun:
		refuse(w)
		return
	}
	if !i.acquireSlot(r.Context()) {
		refuse(w)
		return
	}
	defer func() { <-i.slots }()
	i.run(w, r, mode)
}

// acquireSlot waits up to slotTimeout for a slot and reports whether it got one.
func (i *Instance) acquireSlot(ctx context.Context) bool {
	select {
	case i.slots <- struct{}{}:
		return true
	default:
	}
	t := time.NewTimer(slotTimeout)
	defer t.Stop()
	select {
	case i.slots <- struct{}{}:
		return true
	case <-t.C:
		return false
	case <-ctx.Done():
		return false
	}
}

func refuse(w http.ResponseWriter) {
	w.Header().Set(HeaderNotRun, "true")
	http.Error(w, "not run", http.StatusServiceUnavailable)
}

// answer is the body that a completed run returns.
type answer struct {
	Instance pointport.InstanceID `json:"instance"`
	Path     string               `json:"path"`
	Key      string               `json:"key,omitempty"`
	Body     string               `json:"body,omitempty"`
	Echo     string               `json:"echo,omitempty"`
}

func (i *Instance) run(w http.ResponseWriter, r *http.Request, mode Mode) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return
	}
	i.served.Add(1)
	key := r.Header.Get(HeaderKey)
	if key != "" {
		i.mu.Lock()
		i.ran[key]++
		i.mu.Unlock()
	}
	d := i.runTime(r, mode)
	if n, err := strconv.Atoi(r.Header.Get(HeaderStream)); err == nil && n > 0 && n <= maxPieces {
		stream(w, n, d)
		return
	}
	time.Sleep(d)
	data, err := json.Marshal(answer{
		Instance: i.ID(), Path: r.URL.Path, Key: key, Body: string(body), Echo: r.Header.Get("X-Request-Id"),
	})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	if mode == ModeCut {
		_, _ = w.Write(data[:len(data)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(data)
}

// maxPieces is the largest number of pieces of one answer.
const maxPieces = 10000

// stream sends an answer of n lines, spread over d.
func stream(w http.ResponseWriter, n int, d time.Duration) {
	control := http.NewResponseController(w)
	for piece := range n {
		time.Sleep(d / time.Duration(n))
		fmt.Fprintf(w, "piece %d of %d\n", piece+1, n)
		if err := control.Flush(); err != nil {
			return
		}
	}
}

func (i *Instance) runTime(r *http.Request, mode Mode) time.Duration {
	d := i.serviceTime
	if v := r.Header.Get(HeaderWork); v != "" {
		if requested, err := time.ParseDuration(v); err == nil {
			d = requested
		}
	}
	if mode == ModeSlow {
		d *= slowFactor
	}
	return time.Duration(float64(d) * (1 + serviceSpread*(2*rand.Float64()-1)))
}
