package peer_test

import (
	"bufio"
	"bytes"
	"compress/flate"
	"context"
	"encoding/binary"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/peer"
	"github.com/fuchsiarouter/fuchsiarouter/revision"
)

// fakeEntry is a Handler that answers every method with fixed values, or with those
// of the request.
type fakeEntry struct {
	// heartbeats counts the heartbeats that have arrived.
	heartbeats atomic.Int64
	// unblockHeartbeat, if set, makes heartbeats wait until it is closed.
	unblockHeartbeat chan struct{}
}

func (e *fakeEntry) Heartbeat(ctx context.Context, request peer.HeartbeatRequest) (peer.HeartbeatResponse, error) {
	e.heartbeats.Add(1)
	if e.unblockHeartbeat != nil {
		select {
		case <-e.unblockHeartbeat:
		case <-ctx.Done():
		}
	}
	return peer.HeartbeatResponse{Entries: []fuchsiarouter.Member{request.Member}, Leaving: true}, nil
}

func (e *fakeEntry) Document(context.Context, peer.DocumentRequest) (revision.Snapshot, error) {
	return revision.Snapshot{NextOffset: 7}, nil
}

func (e *fakeEntry) Status(context.Context, peer.StatusRequest) (peer.StatusResponse, error) {
	return peer.StatusResponse{ID: "entry-1"}, nil
}

func (e *fakeEntry) Drain(_ context.Context, request peer.DrainRequest) (peer.DrainResponse, error) {
	return peer.DrainResponse{Known: request.ID == "agent-1"}, nil
}

// TestMethodsRoundTrip guards against a method that is not dispatched, and a
// message that loses fields in transit.
func TestMethodsRoundTrip(t *testing.T) {
	g := gomega.NewWithT(t)
	server, err := peer.Listen("127.0.0.1:0", &fakeEntry{})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer server.Close()
	client := peer.NewClient()
	defer client.Close()
	ctx := context.Background()

	member := fuchsiarouter.Member{
		ID: "agent-1", Kind: fuchsiarouter.KindAgent, Incarnation: 3,
		Versions:  []fuchsiarouter.Version{{Model: "rounds", Digest: "ab", State: fuchsiarouter.VersionReady}},
		Revisions: map[string]int64{"models": 4},
	}
	answer, err := client.Heartbeat(ctx, server.Address(), peer.HeartbeatRequest{Member: member})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(answer.Entries).To(gomega.Equal([]fuchsiarouter.Member{member}))
	g.Expect(answer.Leaving).To(gomega.BeTrue())
	snapshot, err := client.Document(ctx, server.Address(), nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(snapshot.NextOffset).To(gomega.Equal(int64(7)))
	status, err := client.Status(ctx, server.Address())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(status.ID).To(gomega.Equal("entry-1"))
	drained, err := client.Drain(ctx, server.Address(), peer.DrainRequest{ID: "agent-1"})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(drained.Known).To(gomega.BeTrue())
}

// TestRedialAfterRestart guards against a client that keeps a broken connection
// after the entry restarted on the same address.
func TestRedialAfterRestart(t *testing.T) {
	g := gomega.NewWithT(t)
	first, err := peer.Listen("127.0.0.1:0", &fakeEntry{})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	address := first.Address()
	client := peer.NewClient()
	defer client.Close()
	_, err = client.Status(context.Background(), address)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(first.Close()).To(gomega.Succeed())
	_, err = client.Status(context.Background(), address)
	g.Expect(err).To(gomega.HaveOccurred())

	second, err := peer.Listen(address, &fakeEntry{})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer second.Close()
	g.Eventually(func() error {
		_, err := client.Status(context.Background(), address)
		return err
	}).Should(gomega.Succeed())
}

// TestStalledCallHonorsContext guards against a call to a stalled entry that
// outlives its context, and against a stalled call that blocks other calls.
func TestStalledCallHonorsContext(t *testing.T) {
	g := gomega.NewWithT(t)
	handler := &fakeEntry{unblockHeartbeat: make(chan struct{})}
	server, err := peer.Listen("127.0.0.1:0", handler)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer server.Close()
	client := peer.NewClient()
	defer client.Close()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		_, err := client.Heartbeat(ctx, server.Address(), peer.HeartbeatRequest{})
		ended <- err
	}()
	g.Eventually(handler.heartbeats.Load).Should(gomega.Equal(int64(1)))
	_, err = client.Status(context.Background(), server.Address())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	cancel()
	g.Eventually(ended).Should(gomega.Receive(gomega.MatchError(context.Canceled)))
	close(handler.unblockHeartbeat)
}

// TestOversizedMessageRejected guards against a peer that makes the server
// allocate memory for a message that it announces and never sends.
func TestOversizedMessageRejected(t *testing.T) {
	g := gomega.NewWithT(t)
	server, err := peer.Listen("127.0.0.1:0", &fakeEntry{})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer server.Close()
	conn, err := net.Dial("tcp", server.Address())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer conn.Close()
	_, err = conn.Write(binary.AppendUvarint(nil, (peer.MaxMessageBytes+1)<<1))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(conn.SetReadDeadline(time.Now().Add(5 * time.Second))).To(gomega.Succeed())
	_, err = conn.Read(make([]byte, 1))
	g.Expect(err).To(gomega.MatchError("EOF"))
}

// TestCompressionRoundTripAndLimit guards against a compressed message that
// changes in transit, and against a short one that decompresses to more than the
// size limit.
func TestCompressionRoundTripAndLimit(t *testing.T) {
	g := gomega.NewWithT(t)
	request := peer.HeartbeatRequest{Member: fuchsiarouter.Member{ID: strings.Repeat("agent", 1000)}}
	data, err := peer.Encode(request)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(len(data)).To(gomega.BeNumerically("<", 500))
	var received peer.HeartbeatRequest
	g.Expect(peer.Decode(bufio.NewReader(bytes.NewReader(data)), &received)).To(gomega.Succeed())
	g.Expect(received).To(gomega.Equal(request))

	var oversized bytes.Buffer
	writer, err := flate.NewWriter(&oversized, flate.BestCompression)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for range peer.MaxMessageBytes/4096 + 1 {
		_, err = writer.Write(make([]byte, 4096))
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	g.Expect(writer.Close()).To(gomega.Succeed())
	framed := append(binary.AppendUvarint(nil, uint64(oversized.Len())<<1|1), oversized.Bytes()...)
	err = peer.Decode(bufio.NewReader(bytes.NewReader(framed)), &received)
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("more than")))
}

// FuzzServer guards against bytes on a connection that crash the server or keep it
// from answering other clients.
func FuzzServer(f *testing.F) {
	frame := func(text string) []byte {
		return append(binary.AppendUvarint(nil, uint64(len(text))<<1), text...)
	}
	f.Add(frame(`{"jsonrpc":"2.0","id":1,"method":"heartbeat","params":{"member":{"id":"a"}}}`))
	f.Add(frame(`{"jsonrpc":"2.0","id":1,"method":"document","params":{"known":{"models":3}}}`))
	f.Add(frame(`{"jsonrpc":"2.0","id":1,"method":"heartbeat","params":7}`))
	f.Add(bytes.Repeat([]byte{0xff}, 20))
	server, err := peer.Listen("127.0.0.1:0", &fakeEntry{})
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() { server.Close() })
	f.Fuzz(func(t *testing.T, data []byte) {
		conn, err := net.Dial("tcp", server.Address())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		if _, err := conn.Write(data); err != nil {
			return
		}
		client := peer.NewClient()
		defer client.Close()
		if _, err := client.Status(t.Context(), server.Address()); err != nil {
			t.Fatal(err)
		}
	})
}
