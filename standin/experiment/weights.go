package experiment

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/fuchsiarouter/fuchsiarouter/spread"
)

// weightsControlBound is the target for the control traffic of a daemon, 10 KB a
// second, in bytes a second. As in the other experiments, 10 KB are 10,000 bytes.
const weightsControlBound = 10_000

// Weights simulates the distribution of a new model version and measures how
// long the version takes to reach all VMs, and the traffic that this causes, with
// package spread and with simple baselines. Times are in units of W, the rollout
// window within which a version must reach all VMs. Traffic is in copies, that
// is, multiples of the size of the version.
func Weights(seed uint64, report func(Figure)) error { return WeightsWithPrefix("")(seed, report) }

// WeightsWithPrefix returns the experiment Weights restricted to the runs whose
// figure names begin with prefix, such as "spread/frozen/600/".
func WeightsWithPrefix(prefix string) Run {
	return func(seed uint64, report func(Figure)) error { return runWeights(prefix, seed, report) }
}

// runWeights runs the rollouts whose figure names begin with prefix. The figures
// that need no rollout, such as the limits that the links set, are always
// reported.
func runWeights(prefix string, seed uint64, report func(Figure)) error {
	base := rolloutScenario{window: 300 * time.Second, chunkBytes: 1 << 20, chunks: 384, duplex: true}
	idle := newRollout(base, seed)
	for _, l := range idle.interRegionLinks() {
		idle.scheduleLiveMessages(l)
	}
	for idle.queue.step(base.window) {
	}
	idleLiveDelayP95 := idle.liveDelayP95()
	report(Unbounded("model-size", float64(base.size()), "bytes"))
	report(Unbounded("window", base.window.Seconds(), "s"))
	report(Unbounded("link-bound/vm", 1.0/vmRateCopies, "W"))
	report(Unbounded("link-bound/region-direct", base.minRegionTransferTime(1), "W"))
	report(Unbounded("link-bound/region-by-way-of-the-other", base.minRegionTransferTime(0.5), "W"))
	var runs []weightsRun
	for _, nodes := range []int{6, 60, 600} {
		for _, s := range rolloutScenarios(base, nodes) {
			runs = append(runs, weightsRun{scenario: s, policy: "spread", installPolicy: (*rollout).installSpread, hasBounds: s.duplex})
		}
		// This is how long the link of the origin takes to send one copy to each
		// node.
		report(Unbounded(fmt.Sprintf("all-from-origin/plain/%d/least-time", nodes), float64(nodes)/originRateCopies, "W"))
		withoutFaults := rolloutScenarios(base, nodes)[0]
		runs = append(runs,
			weightsRun{scenario: withoutFaults, policy: "all-from-origin", installPolicy: plannerInstaller(originBaseline{})},
			weightsRun{scenario: withoutFaults, policy: "binary-tree", installPolicy: plannerInstaller(treeBaseline{index: make(map[string]int)})},
			weightsRun{scenario: withoutFaults, policy: "swarm", installPolicy: installSwarm},
		)
	}
	runs = slices.DeleteFunc(runs, func(m weightsRun) bool { return !strings.HasPrefix(m.figurePrefix(), prefix) })
	return measureRuns(runs, seed, idleLiveDelayP95, report)
}

// weightsRun is one rollout to measure: a scenario under a policy, which is a way
// to choose the sources of the chunks. The figures of the run have bounds only if
// hasBounds is set.
type weightsRun struct {
	scenario rolloutScenario
	// policy is the name of the policy; installPolicy gives the policy to every
	// node.
	policy        string
	installPolicy func(r *rollout)
	hasBounds     bool
}

// figurePrefix returns the start of the name of every figure of the run.
func (m weightsRun) figurePrefix() string {
	return fmt.Sprintf("%s/%s/%d/", m.policy, m.scenario.name, m.scenario.nodes)
}

// maxParallelRuns limits the rollouts that are simulated at the same time, so
// that processors are left to other users of the machine.
const maxParallelRuns = 4

// measureRuns simulates the rollouts in parallel and reports their figures in
// the order of runs. Each rollout has its own random source, so that the figures
// do not depend on the parallelism. idleLiveDelayP95 is the 95th percentile of the
// queueing delay of live messages without a rollout, to compare with.
func measureRuns(runs []weightsRun, seed uint64, idleLiveDelayP95 time.Duration, report func(Figure)) error {
	finished := make([]*rollout, len(runs))
	var group errgroup.Group
	group.SetLimit(maxParallelRuns)
	for i, run := range runs {
		group.Go(func() error {
			r := newRollout(run.scenario, seed)
			run.installPolicy(r)
			r.run(2 * run.scenario.window)
			finished[i] = r
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	for i, run := range runs {
		finished[i].reportFigures(report, run.figurePrefix(), idleLiveDelayP95, run.hasBounds)
	}
	return nil
}

// rolloutScenarios returns the scenarios with the given number of nodes (VMs):
// one without faults, one in which the directions of a VM's link share its
// capacity, and one each with crashed VMs and corrupt chunks, with frozen VMs, with
// stalled uplinks and with an outage of the origin. A fault of VMs or uplinks
// affects a tenth of the VMs, rounded up.
func rolloutScenarios(base rolloutScenario, nodes int) []rolloutScenario {
	base.nodes = nodes
	withoutFaults, sharedCapacity, lossy, frozen, stalled, outage := base, base, base, base, base, base
	withoutFaults.name = "plain"
	sharedCapacity.name, sharedCapacity.duplex = "two-copies-in-all", false
	lossy.name, lossy.crashedVMs, lossy.corruptShare = "lost-and-corrupt", (nodes+9)/10, 0.01
	frozen.name, frozen.frozenVMs = "frozen", (nodes+9)/10
	stalled.name, stalled.stalledLinks = "stalled", (nodes+9)/10
	outage.name, outage.originOutage = "outage", base.window/10
	return []rolloutScenario{withoutFaults, sharedCapacity, lossy, frozen, stalled, outage}
}

// minRegionTransferTime returns the minimum time, as a fraction of W, in which
// the given fraction of the version crosses an inter-region link, of which
// transfers may use only transferShare.
func (s rolloutScenario) minRegionTransferTime(fraction float64) float64 {
	return fraction * float64(s.size()) / (interRegionBytesPerSecond * transferShare) / s.window.Seconds()
}

// installSpread gives every node a spread.Session that follows one shared plan.
// The sessions can share the plan because all nodes have the same view of the
// fleet.
func (r *rollout) installSpread() {
	plan := spread.NewPlan(r.memberView(), 0)
	r.gatewayCount = plan.GatewayCount
	for _, n := range r.nodes {
		n.policy = spread.NewSession(spread.Options{Self: n.member.ID, Chunks: r.scenario.chunks},
			plan, func(int) bool { return false })
	}
	r.updatePlans = func(r *rollout) {
		plan = spread.NewPlan(r.memberView(), 0)
		r.gatewayCount = plan.GatewayCount
		for _, n := range r.nodes {
			// A node that is presumed dead keeps its old plan. The new one lacks
			// the node, and in package transfer a plan always includes the node
			// that follows it.
			if session, ok := n.policy.(*spread.Session); ok && !n.dead && !n.presumedDead && n.finishedAt == 0 {
				session.ReplacePlan(plan)
			}
		}
	}
}

// reportFigures reports the figures of a finished run, with prefix before their
// names. They have bounds only if hasBounds is set, which it is neither for the
// baselines nor for package spread when both directions of a VM's link share its
// capacity. idleLiveDelayP95 is the 95th percentile of the queueing delay of live
// messages without a rollout. The figure "first-token-ratio" divides the time to the
// first token with the delay of the run by that with idleLiveDelayP95.
func (r *rollout) reportFigures(report func(Figure), prefix string, idleLiveDelayP95 time.Duration, hasBounds bool) {
	reportAtMost := func(name string, value float64, unit string, bound float64) {
		if hasBounds {
			report(AtMost(prefix+name, value, unit, bound))
		} else {
			report(Unbounded(prefix+name, value, unit))
		}
	}
	last := time.Duration(0)
	uploadedCopies, control := 0.0, 0.0
	for _, n := range r.nodes {
		end := n.finishedAt
		if end == 0 && !n.dead {
			end = r.queue.now
		}
		last = max(last, end)
		uploadedCopies = max(uploadedCopies, float64(n.uplink.totalBytes)/float64(r.scenario.size()))
		if end > 0 {
			control = max(control, float64(n.controlBytes)/end.Seconds()+heartbeatBytes)
		}
	}
	interRegionBytes, busiestLinkBytes := int64(0), int64(0)
	for _, l := range r.links {
		interRegionBytes += l.totalBytes
		busiestLinkBytes = max(busiestLinkBytes, l.totalBytes)
	}
	size := float64(r.scenario.size())
	reportAtMost("unfinished", float64(r.unfinishedNodes), "VMs", 0)
	reportAtMost("time", last.Seconds()/r.scenario.window.Seconds(), "W", 1)
	reportAtMost("origin", float64(r.originBytes)/size, "copies", originRateCopies)
	reportAtMost("control", control, "bytes/s", weightsControlBound)
	reportAtMost("first-token-ratio", (idleFirstTokenTime+r.liveDelayP95()).Seconds()/(idleFirstTokenTime+idleLiveDelayP95).Seconds(), "", 1.2)
	report(Unbounded(prefix+"inter-region", float64(interRegionBytes)/size, "copies"))
	report(Unbounded(prefix+"busiest-inter-region-link", float64(busiestLinkBytes)/size, "copies"))
	report(Unbounded(prefix+"busiest-uplink", uploadedCopies, "copies"))
}

// idleFirstTokenTime is the assumed time to the first token of a live request,
// without the queueing delay on the inter-region link. It is short, so that this
// delay has a large effect on the figure "first-token-ratio".
const idleFirstTokenTime = 50 * time.Millisecond
