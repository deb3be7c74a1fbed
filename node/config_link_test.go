package node_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/time/rate"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/clock"
	"github.com/pointport/pointport/memory"
	"github.com/pointport/pointport/node"
	"github.com/pointport/pointport/platform"
	"github.com/pointport/pointport/workload"
)

// This file tests a node whose link to the store is thin beside the operators'
// configuration.
//
// What users saw: operators added many queues, three times over, and minutes after the
// last change had been confirmed two entry instances in three still answered by the
// version before: no such queue, or a queue that was gone. The order of events: a large
// version arrived by a watch and was put in force; the reading that makes sure of it,
// once a second, was overdue after 50 ms and sent again, four copies shared a link that
// needs a second for one, each was given up after a second, and it began anew. No later
// version ever came whole. The evidence: these instances received 1.0 to 1.25 MB in
// each second, which is all that their links carry, with idle processors, while those on
// links of twenty times the width had every version after 0.3 s.

const (
	// slowLinkBytesPerSecond is what the link carries, in bytes a second, and thinQueues how many
	// queues it takes for a configuration that fills it for some 0.9 s.
	slowLinkBytesPerSecond = 200_000
	largeConfigQueues      = 800
	// appliedWithin is by when a confirmed change must be in force everywhere.
	appliedWithin = 4 * time.Second
)

// A slowLinkNode is a node that reaches its store over a thin link.
type slowLinkNode struct {
	t        testing.TB
	kv       pointport.KV // of the store, beside the link
	node     *node.Node
	received atomic.Int64 // bytes that came over the link
}

// startSlowLinkNode starts a node that has version 1 in force, on a link of so many bytes a
// second.
func startSlowLinkNode(t testing.TB, width int) *slowLinkNode {
	t.Helper()
	n := &slowLinkNode{t: t, kv: memory.New(clock.System{}).KV()}
	server := httptest.NewServer(platform.ServeStore(n.kv))
	t.Cleanup(server.Close)
	address := n.link(width, strings.TrimPrefix(server.URL, "http://"))
	n.configure(1, 1)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	var err error
	n.node, err = node.Start(ctx, node.Services{
		KV: platform.NewStore(address), Clock: clock.System{},
		Config: node.Source[*workload.Catalog]{
			Prefix: platform.ConfigKey,
			Decode: func(e pointport.Entry) (*workload.Catalog, error) { return platform.DecodeConfig(e.Value()) },
		},
	}, node.Parameters{Name: "thin", Strength: 1, LeaseTTL: time.Second}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	n.waitForVersion(1)
	return n
}

// configure puts a version with so many queues into the store.
func (n *slowLinkNode) configure(version int64, queues int) {
	n.t.Helper()
	c := &workload.Catalog{Version: version}
	for i := range queues {
		c.Queues = append(c.Queues, workload.Queue{Name: fmt.Sprintf("queue-%06d", i), Host: "example", Path: fmt.Sprintf("/%06d/", i), Pool: "shift"})
	}
	if _, err := n.kv.Commit(context.Background(), pointport.Txn{Put: []pointport.Put{{Key: platform.ConfigKey, Value: platform.EncodeConfig(c, nil)}}}); err != nil {
		n.t.Fatal(err)
	}
}

// waitForVersion waits until a version is in force.
func (n *slowLinkNode) waitForVersion(version int64) {
	n.t.Helper()
	for from := time.Now(); n.node.ConfigVersion() != version; time.Sleep(10 * time.Millisecond) {
		if time.Since(from) > appliedWithin {
			n.t.Fatalf("version %d is not in force after %v but version %d; %d bytes came", version, appliedWithin, n.node.ConfigVersion(), n.received.Load())
		}
	}
}

// link returns the address of a thin link to another address.
func (n *slowLinkNode) link(bytes int, to string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		n.t.Fatal(err)
	}
	n.t.Cleanup(func() { l.Close() })
	const piece = 4096
	width := rate.NewLimiter(rate.Limit(bytes), piece)
	go func() {
		for {
			near, err := l.Accept()
			if err != nil {
				return // the test is over
			}
			go n.forward(near, to, width, piece)
		}
	}()
	return l.Addr().String()
}

// forward carries one connection: what the node sends at once, what it receives at the
// width of the link, which all connections share.
func (n *slowLinkNode) forward(near net.Conn, to string, width *rate.Limiter, piece int) {
	defer near.Close()
	far, err := net.Dial("tcp", to)
	if err != nil {
		return // the test is over
	}
	defer far.Close()
	// Few bytes are on their way at a time, so that an answer that is given up ends
	// soon; with fewer still, acknowledgements that wait 40 ms would be the bound.
	const window = 32 << 10
	_ = near.(*net.TCPConn).SetWriteBuffer(window)
	_ = far.(*net.TCPConn).SetReadBuffer(window)
	go func() {
		_, _ = io.Copy(far, near) // either end may close it
		far.Close()
	}()
	buffer := make([]byte, piece)
	for {
		got, err := far.Read(buffer)
		if err != nil || width.WaitN(context.Background(), got) != nil {
			return
		}
		n.received.Add(int64(got))
		if _, err := near.Write(buffer[:got]); err != nil {
			return
		}
	}
}

func TestLargeConfigurationReachesNodeOnSlowLink(t *testing.T) {
	t.Parallel()
	n := startSlowLinkNode(t, slowLinkBytesPerSecond)
	for version := int64(2); version <= 4; version++ {
		n.configure(version, largeConfigQueues)
		n.waitForVersion(version)
		time.Sleep(1200 * time.Millisecond) // until the node makes sure of it
	}
}

// An unchanged configuration is not carried again: at rest, three seconds of it would
// otherwise fill the link.
func TestUnchangedConfigurationIsNotTransferredAgain(t *testing.T) {
	t.Parallel()
	n := startSlowLinkNode(t, slowLinkBytesPerSecond)
	n.configure(2, largeConfigQueues)
	n.waitForVersion(2)
	time.Sleep(time.Second) // until what is on its way has come
	before := n.received.Load()
	time.Sleep(3 * time.Second)
	if got := n.received.Load() - before; got > slowLinkBytesPerSecond/10 {
		t.Errorf("%d bytes came in three seconds at rest, want less than a tenth of a second's", got)
	}
}

// BenchmarkUnchangedConfiguration states what an unchanged configuration costs a node, its
// lease and the roster among it: 1.0 KB a second whatever its size, where reading it
// anew each second cost 12 KB at 50 queues, 44 KB at 250 and 1.0 MB at 4,000.
func BenchmarkUnchangedConfiguration(b *testing.B) {
	for _, queues := range []int{50, 250, 1000, 4000} {
		b.Run(fmt.Sprint(queues), func(b *testing.B) {
			const wide = 100 << 20
			n := startSlowLinkNode(b, wide)
			n.configure(2, queues)
			n.waitForVersion(2)
			time.Sleep(time.Second)
			before, from := n.received.Load(), time.Now()
			time.Sleep(4 * time.Second)
			b.ReportMetric(float64(n.received.Load()-before)/time.Since(from).Seconds(), "bytes/s")
		})
	}
}
