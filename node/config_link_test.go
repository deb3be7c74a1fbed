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

// This file tests a node whose link to the store is slow compared with the size of the
// operators' configuration.
//
// A large configuration arrives by a watch and is applied. The read that confirms it, once a
// second, is retried after 50 ms without an answer. If it transfers the whole configuration,
// four copies share a link that needs a second for one, each times out after a second, and the
// next read starts over. No later version ever arrives complete: minutes after the last change
// was confirmed, two of three entry instances still answered according to an earlier version,
// with unknown or removed queues. They received 1.0 to 1.25 MB a second, all that their links
// can transmit, with idle processors, while members on links twenty times as fast applied every
// version after 0.3 s.

const (
	// slowLinkBytesPerSecond is the rate of the link. largeConfigQueues is the number of queues
	// in a configuration that occupies the link for some 0.9 s.
	slowLinkBytesPerSecond = 200_000
	largeConfigQueues      = 800
	// appliedWithin is the time within which a confirmed change must be applied everywhere.
	appliedWithin = 4 * time.Second
)

// A slowLinkNode is a node that reaches its store over a slow link.
type slowLinkNode struct {
	t        testing.TB
	kv       pointport.KV // of the store, not over the link
	node     *node.Node
	received atomic.Int64 // bytes received over the link
}

// startSlowLinkNode starts a node on a link with the given rate in bytes per second, and waits
// until version 1 is in force.
func startSlowLinkNode(t testing.TB, bytesPerSecond int) *slowLinkNode {
	t.Helper()
	n := &slowLinkNode{t: t, kv: memory.New(clock.System{}).KV()}
	server := httptest.NewServer(platform.ServeStore(n.kv))
	t.Cleanup(server.Close)
	address := n.link(bytesPerSecond, strings.TrimPrefix(server.URL, "http://"))
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

// configure stores a version with the given number of queues.
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
			n.t.Fatalf("version %d is not in force after %v, but version %d; %d bytes were received", version, appliedWithin, n.node.ConfigVersion(), n.received.Load())
		}
	}
}

// link returns the address of a link to another address, with the given rate in bytes per
// second.
func (n *slowLinkNode) link(bytesPerSecond int, to string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		n.t.Fatal(err)
	}
	n.t.Cleanup(func() { l.Close() })
	const chunkSize = 4096
	limiter := rate.NewLimiter(rate.Limit(bytesPerSecond), chunkSize)
	go func() {
		for {
			nodeConn, err := l.Accept()
			if err != nil {
				return // the test has ended
			}
			go n.forward(nodeConn, to, limiter, chunkSize)
		}
	}()
	return l.Addr().String()
}

// forward forwards one connection: without delay what the node sends, and at the rate of the
// link, which all connections share, what it receives.
func (n *slowLinkNode) forward(nodeConn net.Conn, to string, limiter *rate.Limiter, chunkSize int) {
	defer nodeConn.Close()
	storeConn, err := net.Dial("tcp", to)
	if err != nil {
		return // the test has ended
	}
	defer storeConn.Close()
	// A small window keeps few bytes in flight, so that an aborted response ends soon. With a
	// smaller one, delayed acknowledgements of 40 ms would limit the throughput.
	const window = 32 << 10
	_ = nodeConn.(*net.TCPConn).SetWriteBuffer(window)
	_ = storeConn.(*net.TCPConn).SetReadBuffer(window)
	go func() {
		_, _ = io.Copy(storeConn, nodeConn) // either end may close it
		storeConn.Close()
	}()
	buffer := make([]byte, chunkSize)
	for {
		got, err := storeConn.Read(buffer)
		if err != nil || limiter.WaitN(context.Background(), got) != nil {
			return
		}
		n.received.Add(int64(got))
		if _, err := nodeConn.Write(buffer[:got]); err != nil {
			return
		}
	}
}

// Three large versions in a row are applied in time, each after the node has confirmed the one
// before.
func TestLargeConfigurationReachesNodeOnSlowLink(t *testing.T) {
	t.Parallel()
	n := startSlowLinkNode(t, slowLinkBytesPerSecond)
	for version := int64(2); version <= 4; version++ {
		n.configure(version, largeConfigQueues)
		n.waitForVersion(version)
		time.Sleep(1200 * time.Millisecond) // until the node confirms the version
	}
}

// An unchanged configuration is not transferred again when the node confirms it: that would
// keep the link busy all the time.
func TestUnchangedConfigurationIsNotTransferredAgain(t *testing.T) {
	t.Parallel()
	n := startSlowLinkNode(t, slowLinkBytesPerSecond)
	n.configure(2, largeConfigQueues)
	n.waitForVersion(2)
	time.Sleep(time.Second) // until everything in flight has arrived
	before := n.received.Load()
	time.Sleep(3 * time.Second)
	if got := n.received.Load() - before; got > slowLinkBytesPerSecond/10 {
		t.Errorf("%d bytes were received in three seconds without changes, want less than a tenth of a second's", got)
	}
}

// BenchmarkUnchangedConfiguration measures the bytes per second that a node with an unchanged
// configuration receives, including those for its lease and the roster: 1.0 KB whatever the
// size. A full read each second would take 12 KB with 50 queues, 44 KB with 250 and 1.0 MB with
// 4,000.
func BenchmarkUnchangedConfiguration(b *testing.B) {
	for _, queues := range []int{50, 250, 1000, 4000} {
		b.Run(fmt.Sprint(queues), func(b *testing.B) {
			const fastLink = 100 << 20
			n := startSlowLinkNode(b, fastLink)
			n.configure(2, queues)
			n.waitForVersion(2)
			time.Sleep(time.Second)
			before, from := n.received.Load(), time.Now()
			time.Sleep(4 * time.Second)
			b.ReportMetric(float64(n.received.Load()-before)/time.Since(from).Seconds(), "bytes/s")
		})
	}
}
