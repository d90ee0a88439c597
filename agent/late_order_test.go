package agent_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/document"
	"github.com/fuchsiarouter/fuchsiarouter/revision"
)

// publish replaces a section of the configuration.
func (f *fixture) publish(section document.Section, content string) {
	record := revision.Record{
		Kind: revision.KindEdit, Section: section, Base: f.state.Revisions()[string(section)], Content: content,
		Nonce: fmt.Sprintf("%s-%d", section, f.state.NextOffset()),
	}
	record.Sign(f.private)
	data, err := record.Encode()
	f.Expect(err).NotTo(gomega.HaveOccurred())
	offset := f.state.NextOffset()
	for _, outcome := range f.state.ApplyBatch(fuchsiarouter.Batch{
		Records: []fuchsiarouter.Record{{Offset: offset, Time: time.Now(), Data: data}}, NextOffset: offset + 1,
	}) {
		f.Expect(outcome.Verdict).To(gomega.Equal(revision.VerdictAccepted), outcome.Reason)
	}
	snapshot := f.state.Snapshot()
	f.snapshot.Store(&snapshot)
}

// publishLive makes a version, v1 or v2, the live one.
func (f *fixture) publishLive(name string) {
	f.publish(document.SectionModels, fmt.Sprintf("schema = 1\n[[models]]\nname = \"rounds\"\nlive = %q\nreplicas = 1\n"+
		"[[models.versions]]\nname = \"v1\"\npath = \"rounds/v1\"\ndigest = %q\n"+
		"[[models.versions]]\nname = \"v2\"\npath = \"rounds/v2\"\ndigest = %q\n", name, f.digest, f.nextDigest))
}

// startDelaying starts an agent, waits until v1 is ready, and makes the engine delay the order.
func startDelaying(t *testing.T, engine *statefulEngine, order func(*fixture) string) *fixture {
	f := startStateful(t, engine, func(f *fixture) { f.hasAdapter = false })
	f.awaitAnswer(f.digest)
	engine.withLock(func() { engine.delayedOrder = order(f) })
	return f
}

// awaitDelayed waits until the engine has received the order that it delays.
func (f *fixture) awaitDelayed() {
	f.Eventually(func() bool {
		var received bool
		f.statefulEngine.withLock(func() { received = f.statefulEngine.executeDelayed != nil })
		return received
	}, "20s", "20ms").Should(gomega.BeTrue())
}

// executeDelayed makes the engine execute the delayed order, and reports whether it accepts it.
func (f *fixture) executeDelayed() bool {
	var accepted bool
	f.statefulEngine.withLock(func() { accepted = f.statefulEngine.executeDelayed() })
	return accepted
}

// isLoaded reports whether the engine has a version.
func (e *statefulEngine) isLoaded(digest string) bool {
	var loaded bool
	e.withLock(func() { loaded = e.ready[digest] })
	return loaded
}

// eachEngine runs the test with an engine that checks fencing tokens and with one that does not.
func eachEngine(t *testing.T, test func(*testing.T, *statefulEngine)) {
	for name, checksFence := range map[string]bool{"checks fencing tokens": true, "ignores fencing tokens": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			test(t, &statefulEngine{checksFence: checksFence})
		})
	}
}

// TestLateUnloadKeepsReloadedVersion guards against a reloaded version that a late order to unload it removes.
func TestLateUnloadKeepsReloadedVersion(t *testing.T) {
	eachEngine(t, func(t *testing.T, engine *statefulEngine) {
		f := startDelaying(t, engine, func(f *fixture) string { return "unload " + f.digest })
		f.publishLive("v2")
		f.awaitDelayed()
		f.publishLive("v1")
		f.Eventually(func() int { return engine.timesApplied("commit " + f.digest) }, "20s").Should(gomega.Equal(2))
		f.awaitAnswer(f.digest)
		f.Expect(f.executeDelayed()).To(gomega.Equal(!engine.checksFence))
		f.Eventually(func() bool { return engine.isLoaded(f.digest) }, "20s").Should(gomega.BeTrue())
	})
}

// TestLateLoadIsUnloaded guards against a given-up version that a late order loads and nothing unloads.
func TestLateLoadIsUnloaded(t *testing.T) {
	eachEngine(t, func(t *testing.T, engine *statefulEngine) {
		f := startDelaying(t, engine, func(f *fixture) string { return "commit " + f.nextDigest })
		f.publishLive("v2")
		f.awaitDelayed()
		f.publishLive("v1")
		f.Eventually(func() int { return engine.timesApplied("unload " + f.nextDigest) }, "20s").Should(gomega.Equal(1))
		f.Expect(f.executeDelayed()).To(gomega.Equal(!engine.checksFence))
		f.Eventually(func() bool { return engine.isLoaded(f.nextDigest) }, "20s").Should(gomega.BeFalse())
	})
}

// TestLateRoleChangeCutsNoRequest guards against a late role change that cuts requests of the serving engine.
func TestLateRoleChangeCutsNoRequest(t *testing.T) {
	engine := &statefulEngine{checksFence: true}
	f := startDelaying(t, engine, func(*fixture) string { return "role prefill" })
	f.publish(document.SectionServers, "schema = 1\n[[servers]]\nid = \"agent-1\"\nrole = \"prefill\"\n[[servers]]\nid = \"agent-2\"\nrole = \"decode\"\n")
	f.awaitDelayed()
	f.publish(document.SectionServers, "schema = 1\n")
	f.awaitAnswer(f.digest)
	f.Expect(f.executeDelayed()).To(gomega.BeFalse())
}
