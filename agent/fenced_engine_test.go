package agent_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/result"
)

// statefulEngine is the state of an engine that follows every order, whatever its
// fencing token, as some engines do, unless checksFence is set.
type statefulEngine struct {
	mu sync.Mutex
	// fence is the highest fencing token of an order.
	fence int64
	role  string
	// ready holds the loaded versions and adapters by identity.
	ready map[string]bool
	// appliedOrders lists the orders that took effect, each as the kind of order, a
	// space, and the identity or role.
	appliedOrders []string
	// checksFence makes the engine refuse an order with a lower fencing token than fence.
	checksFence bool
	// delayedOrder, named as in appliedOrders, is an order whose connection is broken before it
	// takes effect, when it comes for the first time. executeDelayed executes it later.
	delayedOrder   string
	executeDelayed func() bool
	// dropResponses is the number of orders for adapters or roles whose connection
	// is still to be broken after they took effect.
	dropResponses int
}

// serve answers orders and status requests, and reports whether the request was one.
func (e *statefulEngine) serve(w http.ResponseWriter, r *http.Request) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.URL.Path == "/status" {
		type model struct {
			Model  string `json:"model"`
			Base   string `json:"base"`
			Digest string `json:"digest"`
			State  string `json:"state"`
		}
		models := []model{}
		for identity := range e.ready {
			version, adapter := fuchsiarouter.SplitIdentity(identity)
			if adapter == "" {
				models = append(models, model{"rounds", "", version, "ready"})
			} else {
				models = append(models, model{"rounds", version, adapter, "ready"})
			}
		}
		_ = json.NewEncoder(w).Encode(map[string]any{"incarnation": 1, "slots": 4, "fence": e.fence, "role": e.role, "models": models})
		return true
	}
	order, isOrderPath := strings.CutPrefix(r.URL.Path, "/orders/")
	if !isOrderPath || r.Method != http.MethodPost {
		return isOrderPath
	}
	var body struct {
		Base, Digest, Role string
		Fence              int64
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	identity := body.Digest
	if body.Base != "" {
		identity = fuchsiarouter.JoinIdentity(body.Base, body.Digest)
	}
	if order == "role" {
		identity = body.Role
	}
	execute := func() bool { return e.execute(order, identity, body.Fence) }
	if e.delayedOrder == order+" "+identity {
		e.delayedOrder, e.executeDelayed = "", execute
		panic(http.ErrAbortHandler)
	}
	if !execute() {
		w.WriteHeader(http.StatusConflict)
		return true
	}
	if order == "load" {
		return true
	}
	if _, adapter := fuchsiarouter.SplitIdentity(identity); e.dropResponses > 0 && (adapter != "" || order == "role") {
		e.dropResponses--
		panic(http.ErrAbortHandler)
	}
	if order == "commit" {
		_ = json.NewEncoder(w).Encode(map[string]string{"digest": body.Digest})
	}
	return true
}

// execute carries out an order, and reports whether the engine accepts its fencing token. The
// caller holds the lock.
func (e *statefulEngine) execute(order, identity string, fence int64) bool {
	if e.checksFence && fence < e.fence {
		return false
	}
	e.fence = max(e.fence, fence)
	switch order {
	case "load":
		return true
	case "commit":
		e.ready[identity] = true
	case "unload":
		delete(e.ready, identity)
	case "role":
		e.role = identity
	}
	e.appliedOrders = append(e.appliedOrders, order+" "+identity)
	return true
}

// withLock calls f with the state locked.
func (e *statefulEngine) withLock(f func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f()
}

// timesApplied returns how often an order, named as in appliedOrders, took effect.
func (e *statefulEngine) timesApplied(order string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	times := 0
	for _, applied := range e.appliedOrders {
		if applied == order {
			times++
		}
	}
	return times
}

// startStateful starts an agent whose engine keeps the given state and answers each
// generation request with the identity that the request names. The configuration has
// an adapter, unless prepare changes that.
func startStateful(t *testing.T, engine *statefulEngine, prepare ...func(*fixture)) *fixture {
	engine.ready, engine.role = map[string]bool{}, "both"
	f := startAgent(t, "", append([]func(*fixture){func(f *fixture) { f.statefulEngine, f.hasAdapter = engine, true }}, prepare...)...)
	f.setAnswer(func(w http.ResponseWriter, r *http.Request) {
		var body struct{ Model string }
		_ = json.NewDecoder(r.Body).Decode(&body)
		_, identity, _ := strings.Cut(body.Model, "@")
		writeEvent(w, "r-1", identity, "whole")
		fmt.Fprint(w, "data: [DONE]\n\n")
	})
	return f
}

// identity returns the identity of the adapter.
func (f *fixture) identity() string { return fuchsiarouter.JoinIdentity(f.digest, f.adapter) }

// awaitAnswer sends calls for the identity until one is answered completely.
func (f *fixture) awaitAnswer(identity string) {
	f.Eventually(func() string { _, text := f.send(identity); return text }, "15s", "100ms").Should(gomega.HaveSuffix("[DONE]\n\n"))
}

// TestAdapterNotReorderedAfterLostAnswer guards against an adapter that is
// ordered a second time, although the first order took effect and only its answer
// was lost.
func TestAdapterNotReorderedAfterLostAnswer(t *testing.T) {
	engine := &statefulEngine{dropResponses: 1}
	f := startStateful(t, engine)
	f.awaitAnswer(f.identity())
	f.Expect(engine.timesApplied("commit " + f.identity())).To(gomega.Equal(1))
}

// TestAnswerWithoutAdapterRejected guards against an answer from the base
// version, when an engine falls back to it because the adapter is missing.
func TestAnswerWithoutAdapterRejected(t *testing.T) {
	f := startStateful(t, &statefulEngine{})
	f.awaitAnswer(f.identity())
	for _, contentType := range []string{"text/event-stream", "application/json"} {
		f.setAnswer(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", contentType)
			if contentType == "application/json" {
				fmt.Fprintf(w, `{"id":"r-1","system_fingerprint":%q,"text":"foreign"}`, f.digest)
				return
			}
			writeEvent(w, "r-1", f.digest, "foreign")
			fmt.Fprint(w, "data: [DONE]\n\n")
		})
		_, text := f.send(f.identity())
		f.Expect(text).NotTo(gomega.Or(gomega.ContainSubstring(`foreign"`), gomega.ContainSubstring("[DONE]")), contentType)
		f.Expect(text).To(gomega.ContainSubstring("server-lost"), contentType)
	}
	// An adapter that is not loaded is refused before the engine is asked.
	code, _ := f.send(fuchsiarouter.JoinIdentity(f.digest, strings.Repeat("0", 64)))
	f.Expect(code).To(gomega.Equal(result.VersionNotLoaded.String()))
}

// TestAdaptersReconciledWithEngine guards against an adapter that the engine lost
// and that is not loaded again, and against an adapter from an earlier agent that
// is never unloaded.
func TestAdaptersReconciledWithEngine(t *testing.T) {
	engine := &statefulEngine{}
	f := startStateful(t, engine)
	f.awaitAnswer(f.identity())
	leftover := fuchsiarouter.JoinIdentity(f.digest, strings.Repeat("1", 64))
	engine.withLock(func() { delete(engine.ready, f.identity()); engine.ready[leftover] = true })
	f.Eventually(func() bool {
		var isBack, isLeft bool
		engine.withLock(func() { isBack, isLeft = engine.ready[f.identity()], engine.ready[leftover] })
		return isBack && !isLeft
	}, "15s").Should(gomega.BeTrue())
}

// TestSupersededAgent guards against orders of an agent process that was paused while
// a newer one took over, with an engine that would follow the orders.
func TestSupersededAgent(t *testing.T) {
	engine := &statefulEngine{}
	f := startStateful(t, engine)
	f.awaitAnswer(f.identity())
	var before int
	engine.withLock(func() {
		// The newer agent has unloaded the adapter and loaded another one.
		engine.fence += 1_000_000
		before = len(engine.appliedOrders)
		delete(engine.ready, f.identity())
		engine.ready[fuchsiarouter.JoinIdentity(f.digest, strings.Repeat("1", 64))] = true
	})
	f.Consistently(func() int {
		after := 0
		engine.withLock(func() { after = len(engine.appliedOrders) })
		return after
	}, "5s", "200ms").Should(gomega.Equal(before))
}

// TestFenceStartsAboveEngineFence guards against an agent whose orders the engine
// never follows because their fencing token, which starts as the agent's start time,
// is lower than that of an earlier agent whose clock was ahead.
func TestFenceStartsAboveEngineFence(t *testing.T) {
	ahead := time.Now().Add(time.Hour).UnixMilli()
	engine := &statefulEngine{fence: ahead}
	f := startStateful(t, engine)
	f.awaitAnswer(f.identity())
	engine.withLock(func() { f.Expect(engine.fence).To(gomega.BeNumerically(">", ahead)) })
}

// TestRoleChange guards against a role change that cuts a request, a request that is
// forwarded although the engine has, or is configured to have, another role than
// RoleBoth, an order that is repeated although it took effect, and a role that another
// agent changed and that stays so.
func TestRoleChange(t *testing.T) {
	engine := &statefulEngine{dropResponses: 1}
	f := startStateful(t, engine, func(f *fixture) {
		f.hasAdapter = false
		f.serversSection = "[[servers]]\nid = \"agent-1\"\nrole = \"prefill\"\n[[servers]]\nid = \"agent-2\"\nrole = \"decode\"\n"
	})
	f.Eventually(func() int { return engine.timesApplied("role prefill") }, "10s").Should(gomega.Equal(1))
	f.Consistently(func() string { code, _ := f.send(f.digest); return code }, "3s", "100ms").
		Should(gomega.Or(gomega.Equal(result.VersionNotLoaded.String()), gomega.Equal(result.NotReady.String())))
	f.Expect(engine.timesApplied("role prefill")).To(gomega.Equal(1))
	// Another agent changes the role; the engine must return to the configured
	// one.
	engine.withLock(func() { engine.role = "both" })
	f.Eventually(func() int { return engine.timesApplied("role prefill") }, "10s").Should(gomega.Equal(2))
}
