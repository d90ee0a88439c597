package hostiletest_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"github.com/fuchsiarouter/fuchsiarouter/document"
	"github.com/fuchsiarouter/fuchsiarouter/peer"
	"github.com/fuchsiarouter/fuchsiarouter/settings"
	"github.com/fuchsiarouter/fuchsiarouter/standin/bench"
)

const (
	// productMemory is the memory that a standalone entry or agent may take by default, and
	// productDescriptors the number of descriptors that the operating system allows it here.
	productMemory      = 512 << 20
	productDescriptors = 700
	// cacheBytes is the cache of the agent for chunks of weights.
	cacheBytes = 1 << 20
	// serviceToken is the name of the workspace of ordinary callers, which is its token.
	serviceToken = "mopa"
)

// startProduct starts a standalone entry and an agent with a plain service, and returns their
// processes, the former with a function that sends an ordinary request through both.
func startProduct(t *testing.T) (entry, agent *bench.Process, answers func() bool) {
	g := gomega.NewWithT(t)
	real := binaryDirectory(t)
	directory := t.TempDir()
	wrapper := fmt.Sprintf("#!/bin/sh\nulimit -n %d\nexec %s/fuchsiarouterd \"$@\"\n", productDescriptors, real)
	g.Expect(os.WriteFile(filepath.Join(directory, "fuchsiarouterd"), []byte(wrapper), 0o700)).To(gomega.Succeed())
	g.Expect(os.Symlink(filepath.Join(real, "standin"), filepath.Join(directory, "standin"))).To(gomega.Succeed())
	b, err := bench.New(directory, t.TempDir())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(b.Close)
	ctx := context.Background()
	place := bench.Placement{Region: "norte", AvailabilityZone: "norte-a"}
	g.Expect(b.StartPlatform("--vm-list-lag=200ms")).To(gomega.Succeed())
	entry, err = b.StartEntry(ctx, "entry-0", place)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	service, err := b.StartService("booking-0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	agent, err = b.StartAgent(ctx, "agent-0", place, func(s *settings.Agent) {
		s.Backend, s.Service, s.CacheBytes = service.Address, "booking", cacheBytes
	})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	published := b.NewDocument(document.Region{Name: "norte", AvailabilityZones: []string{"norte-a"}})
	published.AddWorkspace(serviceToken, 1)
	published.AddService("booking")
	g.Expect(published.Publish(ctx)).To(gomega.Succeed())
	g.Expect(b.AwaitReady(ctx, "entry-0", waitTimeout)).To(gomega.Succeed())
	g.Expect(b.AwaitServing(ctx, "entry-0", "booking", "", 1, waitTimeout)).To(gomega.Succeed())
	answers = func() bool {
		request, err := http.NewRequest(http.MethodPost, "http://"+entry.Address+"/v1/services/booking/balance", strings.NewReader("an ordinary body"))
		if err != nil {
			return false
		}
		request.Header.Set("Authorization", "Bearer "+serviceToken)
		response, err := client.Do(request)
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	}
	g.Eventually(answers, waitTimeout).Should(gomega.BeTrue())
	return entry, agent, answers
}

// productHead is the start of the head of a hostile request.
const productHead = "POST /v1/services/booking/hostile HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + serviceToken + "\r\n"

// TestCallersOfEntry guards against a standalone entry that exceeds its limits, or answers no ordinary
// request, because of what callers send.
func TestCallersOfEntry(t *testing.T) {
	runLoads(t, allLoads, func(t *testing.T) *target {
		entry, _, answers := startProduct(t)
		return &target{
			t: t, pid: entry.PID(), address: entry.Address, answers: answers, memoryLimit: productMemory, descriptorLimit: productDescriptors,
			request: request{head: productHead, bodyLimit: settings.DefaultMaxBodyBytes},
		}
	})
}

// TestCallersOfAgent guards against an agent that exceeds its limits, or answers no ordinary request of
// an entry, because of what others send.
func TestCallersOfAgent(t *testing.T) {
	runLoads(t, allLoads, func(t *testing.T) *target {
		_, agent, answers := startProduct(t)
		return &target{
			t: t, pid: agent.PID(), address: agent.Address, answers: answers, memoryLimit: productMemory + cacheBytes,
			descriptorLimit: productDescriptors, request: request{head: productHead, bodyLimit: settings.DefaultMaxBodyBytes},
		}
	})
}

// startControlTarget returns the address of an entry for the control messages of other daemons as the
// target.
func startControlTarget(t *testing.T) *target {
	entry, _, answers := startProduct(t)
	return &target{
		t: t, pid: entry.PID(), address: entry.Control, answers: answers, memoryLimit: productMemory, descriptorLimit: productDescriptors,
	}
}

// TestIdleControlConnections guards against an entry that answers no ordinary request since connections
// for control messages on which nothing is sent take its descriptors.
func TestIdleControlConnections(t *testing.T) {
	startControlTarget(t).run(func(net.Conn, request) {})
}

// TestUnfinishedControlMessages guards against an entry that exceeds its memory by control messages of
// the largest size that stop short.
func TestUnfinishedControlMessages(t *testing.T) {
	daemon := startControlTarget(t)
	daemon.crowdSize = 64
	daemon.run(func(conn net.Conn, _ request) {
		// The lowest bit of the length says whether the message is compressed.
		length := binary.AppendUvarint(nil, peer.MaxMessageBytes<<1)
		_, _ = conn.Write(append(length, bytes.Repeat([]byte(" "), peer.MaxMessageBytes-bytesMissing)...))
	})
}
