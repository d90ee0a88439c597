package experiment

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/spread"
	"github.com/fuchsiarouter/fuchsiarouter/transfer"
)

// transferPolicy decides which chunks a node fetches from which source.
// spread.Session implements it. The id of a method is that of a request which
// NextActions returned.
type transferPolicy interface {
	// NextActions returns the requests to start and to cancel now.
	NextActions(now time.Time) spread.Actions
	// RecordTransferStart is called when the source begins to answer with the chunk.
	RecordTransferStart(id int64, now time.Time)
	// RecordProgress is called when a part of the chunk other than the last has
	// arrived.
	RecordProgress(id int64, now time.Time)
	// RecordSuccess is called when the chunk has arrived intact.
	RecordSuccess(id int64, now time.Time)
	// RecordAbsent is called when the source answers that it does not have the chunk.
	RecordAbsent(id int64, now time.Time)
	// RecordFailure is called when the source answers with an error.
	RecordFailure(id int64, now time.Time)
	// RecordCorrupt is called when the chunk has arrived with wrong bytes.
	RecordCorrupt(id int64, now time.Time)
	// Remaining returns the number of chunks that the node does not have yet.
	Remaining() int
}

// rolloutScenario describes the fleet and the faults of a rollout, the
// distribution of one new version to all VMs.
type rolloutScenario struct {
	// name is the part of the figure names that identifies the scenario.
	name string
	// nodes is the number of VMs.
	nodes int
	// window is W, the time within which a version must reach all VMs.
	window time.Duration
	// chunkBytes is the size of a chunk, chunks the number of chunks of the
	// version.
	chunkBytes int64
	chunks     int
	// duplex is set when each direction of a VM's link has a capacity of
	// vmRateCopies, and unset when both directions share it.
	duplex bool
	// crashedVMs and frozenVMs are the numbers of VMs that crash and that freeze
	// for freezeDuration. stalledLinks is the number of VM uplinks that stall
	// for stallDuration.
	crashedVMs   int
	frozenVMs    int
	stalledLinks int
	// corruptShare is the fraction of chunk transfers that deliver wrong bytes.
	corruptShare float64
	// originOutage is how long the origin refuses requests, starting after a
	// tenth of W; 0 means never.
	originOutage time.Duration
}

// size returns the size of the version in bytes.
func (s rolloutScenario) size() int64 { return s.chunkBytes * int64(s.chunks) }

// Parameters of the rollout. They are those of the users' documents, or
// assumptions where the documents have none.
const (
	// Rates of the links of the origin and of a VM, as the number of copies of the
	// version that pass in W.
	originRateCopies = 4
	vmRateCopies     = 2
	// interRegionBytesPerSecond is the rate of the link between two regions in
	// each direction, 20 Mbit/s.
	interRegionBytesPerSecond = 20e6 / 8
	// Propagation delays in one direction, within a region and between regions.
	intraRegionDelay = 500 * time.Microsecond
	interRegionDelay = time.Millisecond
	// liveTrafficShare is the fraction of an inter-region link that live requests,
	// those of callers, use, in messages of liveMessageBytes.
	liveTrafficShare = 0.15
	liveMessageBytes = 4 << 10
	// transferShare is the fraction of an inter-region link that chunk transfers
	// may use, so that live requests do not queue behind them.
	transferShare = 0.7
	// Sizes of a request for a chunk and of the header of its answer. They count
	// as control traffic.
	requestBytes = 300
	answerBytes  = 200
	// heartbeatBytes is the control traffic of a heartbeat and its answer, which a
	// node exchanges once a second, without the list of other members.
	heartbeatBytes = 900
	// failureDetectionTime is the time from a crash or freeze of a VM until the
	// missing heartbeats show it as dead to the others.
	failureDetectionTime = 10 * time.Second
	// freezeDuration is how long a frozen VM neither sends nor receives;
	// stallDuration is how long a stalled uplink sends nothing.
	freezeDuration = 30 * time.Second
	stallDuration  = 20 * time.Second
	// policyTickInterval is the interval at which a node's policy runs in addition
	// to its runs after each answer.
	policyTickInterval = 500 * time.Millisecond
)

// rolloutRegions are the regions; the origin is in the first.
var rolloutRegions = []string{"norte", "centro", "sur"}

// rolloutNode is a VM, which fetches the version and uploads chunks of it, or the
// origin, which only uploads. Its times are virtual.
type rolloutNode struct {
	member fuchsiarouter.Member
	// region is an index of rolloutRegions.
	region           int
	uplink, downlink *link
	// pacers are links that limit the transfers of this node to other regions, by
	// the index of the region.
	pacers map[int]*link
	// policy decides what this node fetches; nil for the origin, which fetches
	// nothing.
	policy transferPolicy
	// hasChunk tells for each chunk whether the node has it.
	hasChunk []bool
	// waitingPulls are the requests of other nodes for chunks that this node does
	// not have yet, by chunk; activePulls are the pulls of which this node is the
	// receiver, by request ID.
	waitingPulls map[int][]*pull
	activePulls  map[int64]*pull
	// uploadSlots limits the concurrent uploads of this node; 0 means no limit.
	// activeUploads counts them, and queuedPulls wait for a free slot.
	uploadSlots   int
	activeUploads int
	queuedPulls   []*pull
	// dead is set when the node has crashed. It does not return.
	dead bool
	// presumedDead is set while the other nodes consider a frozen node dead
	// because they miss its heartbeats.
	presumedDead bool
	frozenUntil  time.Duration
	// refusalInterval is the time from the first value until the second in which
	// the node answers requests with an error.
	refusalInterval [2]time.Duration
	// controlBytes counts the bytes of the messages that the node sent for
	// transfers, without the chunk data and the heartbeats.
	controlBytes int64
	// finishedAt is when the node had the whole version; 0 until then.
	finishedAt time.Duration
}

// isUnresponsive reports whether the node has crashed or is frozen.
func (n *rolloutNode) isUnresponsive(now time.Duration) bool { return n.dead || now < n.frozenUntil }

// refusesRequests reports whether the node answers requests with an error at the
// time now.
func (n *rolloutNode) refusesRequests(now time.Duration) bool {
	return now >= n.refusalInterval[0] && now < n.refusalInterval[1]
}

// rollout is one simulated distribution of a version, under the network, the
// live traffic and the faults of a scenario.
type rollout struct {
	scenario rolloutScenario
	queue    eventQueue
	random   *rand.Rand
	// nodes are the VMs, without the origin, and byID the same nodes by member ID.
	nodes  []*rolloutNode
	byID   map[string]*rolloutNode
	origin *rolloutNode
	// links are the links between regions, by the indexes in rolloutRegions of
	// the sending and the receiving region.
	links map[[2]int]*link
	// originBytes counts the chunk bytes from the origin that arrived.
	originBytes int64
	// gatewayCount returns how many gateways of a region, the members that send to
	// other regions, share its inter-region links. It is nil when the policy does
	// not divide these links.
	gatewayCount func(region string) int
	// updatePlans gives the nodes new plans after the set of live members has
	// changed. It is nil for policies without plans.
	updatePlans func(r *rollout)
	// unfinishedNodes counts the live nodes that do not have the whole version.
	unfinishedNodes int
	// liveQueueingDelays are the queueing delays of all live messages, which belong
	// to requests of callers and cross the inter-region links.
	liveQueueingDelays []time.Duration
}

// newRollout returns a rollout in which only the origin has the version. The
// nodes have no policies yet.
func newRollout(s rolloutScenario, seed uint64) *rollout {
	r := &rollout{
		scenario: s, random: rand.New(rand.NewPCG(seed, 1)), byID: make(map[string]*rolloutNode),
		links: make(map[[2]int]*link), unfinishedNodes: s.nodes,
	}
	rate := float64(s.size()) / s.window.Seconds()
	r.origin = r.newNode(spread.OriginID, 0, originRateCopies*rate)
	for i := range s.chunks {
		r.origin.hasChunk[i] = true
	}
	for i := range s.nodes {
		n := r.newNode(fmt.Sprintf("vm-%04d", i), i%len(rolloutRegions), vmRateCopies*rate)
		n.uploadSlots = transfer.DefaultUploadSlots
		if !s.duplex {
			n.downlink = n.uplink
		}
		r.nodes = append(r.nodes, n)
		r.byID[n.member.ID] = n
	}
	for a := range rolloutRegions {
		for b := range rolloutRegions {
			if a != b {
				r.links[[2]int{a, b}] = &link{bytesPerSecond: interRegionBytesPerSecond, propagationDelay: interRegionDelay}
			}
		}
	}
	return r
}

// newNode returns a node whose uplink and downlink have the given rate in bytes
// a second.
func (r *rollout) newNode(id string, region int, rate float64) *rolloutNode {
	return &rolloutNode{
		member: fuchsiarouter.Member{
			ID: id, Kind: fuchsiarouter.KindAgent, State: fuchsiarouter.StateLive, Address: id,
			Region: rolloutRegions[region], AvailabilityZone: rolloutRegions[region] + "-a",
			Versions: []fuchsiarouter.Version{{Digest: "version", State: fuchsiarouter.VersionFetching}},
		},
		region: region, uplink: &link{bytesPerSecond: rate, propagationDelay: intraRegionDelay}, downlink: &link{bytesPerSecond: rate},
		pacers: make(map[int]*link), hasChunk: make([]bool, r.scenario.chunks),
		waitingPulls: make(map[int][]*pull), activePulls: make(map[int64]*pull),
	}
}

// memberView returns the view of the fleet that all nodes share: the members that
// heartbeats show as live, without the crashed nodes.
func (r *rollout) memberView() spread.View {
	view := spread.View{Version: "version", StoreRegion: rolloutRegions[0]}
	for _, n := range r.nodes {
		if !n.dead && !n.presumedDead {
			view.Members = append(view.Members, n.member)
		}
	}
	return view
}

// virtualTime returns the virtual time as the time.Time that policies take.
func (r *rollout) virtualTime() time.Time { return time.Unix(0, 0).Add(r.queue.now) }

// propagationDelay returns the delay between two nodes without queueing.
func (r *rollout) propagationDelay(a, b *rolloutNode) time.Duration {
	if a.region == b.region {
		return intraRegionDelay
	}
	return interRegionDelay
}

// path returns the links that bytes between two nodes pass, in order. When the
// policy divides the inter-region link among the gateways of a region, the path
// between two regions includes a pacer, a link with the sender's part of the
// rate. The origin has none.
func (r *rollout) path(from, to *rolloutNode) []*link {
	if from.region == to.region {
		return []*link{from.uplink, to.downlink}
	}
	links := []*link{from.uplink}
	if r.gatewayCount != nil && from != r.origin {
		pacer, ok := from.pacers[to.region]
		if !ok {
			pacer = &link{}
			from.pacers[to.region] = pacer
		}
		pacer.bytesPerSecond = interRegionBytesPerSecond * transferShare / float64(r.gatewayCount(from.member.Region))
		links = append(links, pacer)
	}
	return append(links, r.links[[2]int{from.region, to.region}], to.downlink)
}

// drawCorruption decides at random whether a transfer delivers wrong bytes.
func (r *rollout) drawCorruption(*pull) bool {
	return r.scenario.corruptShare > 0 && r.random.Float64() < r.scenario.corruptShare
}

// addChunk records that a node has a chunk, and starts the transfers to the nodes
// that wait for the chunk. If the node then has the whole version, it sets
// finishedAt. It does nothing if the node already had the chunk.
func (r *rollout) addChunk(n *rolloutNode, chunk int) {
	if n.hasChunk[chunk] {
		return
	}
	n.hasChunk[chunk] = true
	for _, p := range n.waitingPulls[chunk] {
		r.startTransfer(p)
	}
	delete(n.waitingPulls, chunk)
	if n.policy.Remaining() == 0 {
		n.finishedAt = r.queue.now
		r.unfinishedNodes--
	}
}

// runPolicy asks a node's policy for its next actions and performs them, unless
// the node has crashed or is frozen.
func (r *rollout) runPolicy(n *rolloutNode) {
	if n.isUnresponsive(r.queue.now) {
		return
	}
	actions := n.policy.NextActions(r.virtualTime())
	for _, id := range actions.Cancel {
		r.cancelPull(n, id)
	}
	for _, request := range actions.Start {
		from := r.origin
		if !request.Source.IsOrigin() {
			from = r.byID[request.Source.ID]
		}
		r.startPull(n, request.ID, request.Chunk, from, request.Wait)
	}
}

// run simulates the rollout until every live node has the version or virtual time
// reaches the limit.
func (r *rollout) run(limit time.Duration) {
	for i, n := range r.nodes {
		r.schedulePolicyTicks(n, time.Duration(i)*time.Millisecond)
	}
	for _, l := range r.interRegionLinks() {
		r.scheduleLiveMessages(l)
	}
	r.scheduleFaults()
	for r.unfinishedNodes > 0 && r.queue.step(limit) {
	}
}

// schedulePolicyTicks runs the node's policy after a delay and then at every
// policyTickInterval, until the node has the version or has crashed.
func (r *rollout) schedulePolicyTicks(n *rolloutNode, delay time.Duration) {
	r.queue.scheduleAfter(delay, func() {
		if n.dead || n.finishedAt > 0 {
			return
		}
		r.runPolicy(n)
		r.schedulePolicyTicks(n, policyTickInterval)
	})
}

// interRegionLinks returns the inter-region links in a fixed order.
func (r *rollout) interRegionLinks() []*link {
	var list []*link
	for a := range rolloutRegions {
		for b := range rolloutRegions {
			if a != b {
				list = append(list, r.links[[2]int{a, b}])
			}
		}
	}
	return list
}

// scheduleLiveMessages schedules messages of live requests over a link, with
// exponentially distributed intervals, and records their queueing delays. Their
// bytes do not count in the link's totalBytes, which is the traffic of transfers.
func (r *rollout) scheduleLiveMessages(l *link) {
	mean := liveMessageBytes / (liveTrafficShare * interRegionBytesPerSecond)
	r.queue.scheduleAfter(time.Duration(r.random.ExpFloat64()*mean*float64(time.Second)), func() {
		r.liveQueueingDelays = append(r.liveQueueingDelays, l.queueingDelay(r.queue.now))
		l.send(r.queue.now, liveMessageBytes)
		l.totalBytes -= liveMessageBytes
		r.scheduleLiveMessages(l)
	})
}

// scheduleFaults schedules the faults of the scenario: those of VMs at random
// times in the first half of W, each on another VM, and the outage of the origin
// after a tenth of W.
func (r *rollout) scheduleFaults() {
	half := r.scenario.window / 2
	order := r.random.Perm(len(r.nodes))
	scheduleOn := func(count int, fault func(n *rolloutNode)) {
		for _, i := range order[:count] {
			at := time.Duration(r.random.Float64() * float64(half))
			r.queue.scheduleAt(at, func() { fault(r.nodes[i]) })
		}
		order = order[count:]
	}
	scheduleOn(r.scenario.crashedVMs, r.crash)
	scheduleOn(r.scenario.frozenVMs, r.freeze)
	scheduleOn(r.scenario.stalledLinks, func(n *rolloutNode) { n.uplink.stall(r.queue.now, stallDuration) })
	if r.scenario.originOutage > 0 {
		from := r.scenario.window / 10
		r.origin.refusalInterval = [2]time.Duration{from, from + r.scenario.originOutage}
	}
}

// crash stops a node for good. The plans change after failureDetectionTime.
func (r *rollout) crash(n *rolloutNode) {
	n.dead = true
	if n.finishedAt == 0 {
		r.unfinishedNodes--
	}
	r.queue.scheduleAfter(failureDetectionTime, r.replan)
}

// freeze stops a node for freezeDuration. The other nodes consider it dead from
// failureDetectionTime after the freeze until a second after its end, when its
// heartbeats have arrived again.
func (r *rollout) freeze(n *rolloutNode) {
	n.frozenUntil = r.queue.now + freezeDuration
	setPresumedDead := func(isDead bool) func() {
		return func() {
			n.presumedDead = isDead
			r.replan()
		}
	}
	r.queue.scheduleAfter(failureDetectionTime, setPresumedDead(true))
	r.queue.scheduleAfter(freezeDuration+time.Second, setPresumedDead(false))
}

// replan gives the policies a new plan for the current members, if the policies
// follow plans.
func (r *rollout) replan() {
	if r.updatePlans != nil {
		r.updatePlans(r)
	}
}

// liveDelayP95 returns the 95th percentile of the queueing delays of live
// messages on all inter-region links so far, or 0 if there were no messages.
func (r *rollout) liveDelayP95() time.Duration {
	if len(r.liveQueueingDelays) == 0 {
		return 0
	}
	slices.Sort(r.liveQueueingDelays)
	return r.liveQueueingDelays[len(r.liveQueueingDelays)*95/100]
}
