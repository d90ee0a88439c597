package experiment

import (
	"time"

	"github.com/fuchsiarouter/fuchsiarouter/transfer"
)

// pull is a request of a node, the receiver, for one chunk, and the transfer of
// the chunk from the source. The source sends the chunk in segments, with up to
// segmentsInFlight of them on the way.
type pull struct {
	// id is the request ID that the policy of the receiver chose.
	id       int64
	chunk    int
	source   *rolloutNode
	receiver *rolloutNode
	// links are the links from the source to the receiver, in order.
	links            []*link
	segmentBytes     int64
	segmentsInFlight int
	// unsentBytes have not left the source, missingBytes have not arrived.
	unsentBytes  int64
	missingBytes int64
	// started is set when the source has the chunk and accepts the request, which
	// may be before it has a free upload slot.
	started bool
	// ended is set when the chunk has arrived, the source has answered without it,
	// or either side has given up the pull.
	ended bool
	// abortScheduled is set once the source has noticed that the receiver is
	// unresponsive.
	abortScheduled bool
}

// Sizes of the segments in which a chunk is sent, and how many of them are on
// the way at once. Between regions the segments are small, so that messages of
// live requests wait behind few bytes.
const (
	localSegmentBytes      = 256 << 10
	localSegmentsInFlight  = 2
	remoteSegmentBytes     = 8 << 10
	remoteSegmentsInFlight = 16
)

// startPull sends a request of the receiver's policy to the source. The source
// may delay its answer by up to wait until it has the chunk.
func (r *rollout) startPull(receiver *rolloutNode, id int64, chunk int, source *rolloutNode, wait time.Duration) {
	p := &pull{id: id, chunk: chunk, source: source, receiver: receiver, segmentBytes: localSegmentBytes, segmentsInFlight: localSegmentsInFlight}
	p.unsentBytes, p.missingBytes = r.scenario.chunkBytes, r.scenario.chunkBytes
	p.links = r.path(source, receiver)
	if source.region != receiver.region {
		p.segmentBytes, p.segmentsInFlight = remoteSegmentBytes, remoteSegmentsInFlight
	}
	receiver.activePulls[id] = p
	receiver.controlBytes += requestBytes
	r.queue.scheduleAfter(r.propagationDelay(source, receiver), func() { r.handleRequest(p, wait) })
}

// handleRequest handles the arrival of a request at the source. An unresponsive
// source does not answer, and one that refuses requests answers with an error. If
// the source does not have the chunk yet, its answer waits for the chunk for at most
// the given time; with a wait of 0 the source answers at once.
func (r *rollout) handleRequest(p *pull, wait time.Duration) {
	switch {
	case p.ended || p.source.isUnresponsive(r.queue.now):
		return
	case p.source.refusesRequests(r.queue.now):
		r.endWithoutData(p, func() { p.receiver.policy.RecordFailure(p.id, r.virtualTime()) })
	case p.source.hasChunk[p.chunk]:
		r.startTransfer(p)
	case wait == 0:
		r.endWithoutData(p, func() { p.receiver.policy.RecordAbsent(p.id, r.virtualTime()) })
	default:
		p.source.waitingPulls[p.chunk] = append(p.source.waitingPulls[p.chunk], p)
		r.queue.scheduleAfter(wait, func() {
			if !p.started && !p.ended && !p.source.isUnresponsive(r.queue.now) {
				r.endWithoutData(p, func() { p.receiver.policy.RecordAbsent(p.id, r.virtualTime()) })
			}
		})
	}
}

// endWithoutData ends a pull with an answer without chunk data. When the answer
// arrives at the receiver, report tells its policy, unless the receiver has
// canceled the pull.
func (r *rollout) endWithoutData(p *pull, report func()) {
	p.ended = true
	p.source.controlBytes += answerBytes
	r.queue.scheduleAfter(r.propagationDelay(p.source, p.receiver), func() {
		if p.receiver.activePulls[p.id] == p {
			delete(p.receiver.activePulls, p.id)
			report()
			r.runPolicy(p.receiver)
		}
	})
}

// startTransfer starts to send the chunk, or queues the pull until the source
// has a free upload slot. As in package transfer, chunks for other regions need
// no slot if a pacer limits their rate.
func (r *rollout) startTransfer(p *pull) {
	if p.ended {
		return
	}
	if !p.started {
		p.started = true
		p.source.controlBytes += answerBytes
		r.queue.scheduleAfter(r.propagationDelay(p.source, p.receiver), func() { p.receiver.policy.RecordTransferStart(p.id, r.virtualTime()) })
	}
	if p.source.uploadSlots > 0 && p.source.activeUploads >= p.source.uploadSlots && r.needsUploadSlot(p) {
		p.source.queuedPulls = append(p.source.queuedPulls, p)
		return
	}
	if r.needsUploadSlot(p) {
		p.source.activeUploads++
	}
	for range p.segmentsInFlight {
		r.sendSegment(p)
	}
}

// needsUploadSlot reports whether a pull needs an upload slot at its source. A
// pull between regions needs none if the policy divides the inter-region links
// among gateways, because pacers then limit these transfers.
func (r *rollout) needsUploadSlot(p *pull) bool {
	return r.gatewayCount == nil || p.source.region == p.receiver.region
}

// releaseUploadSlot frees the upload slot of an ended pull, if it had one, and
// starts the pulls that are queued at the same source.
func (r *rollout) releaseUploadSlot(ended *pull) {
	n := ended.source
	if !r.needsUploadSlot(ended) {
		return
	}
	n.activeUploads--
	for len(n.queuedPulls) > 0 && n.activeUploads < n.uploadSlots {
		p := n.queuedPulls[0]
		n.queuedPulls = n.queuedPulls[1:]
		r.startTransfer(p)
	}
}

// sendSegment sends the next segment of the chunk, if any is left, over the links
// to the receiver.
func (r *rollout) sendSegment(p *pull) {
	bytes := min(p.segmentBytes, p.unsentBytes)
	if bytes == 0 {
		return
	}
	p.unsentBytes -= bytes
	r.forwardSegment(p, bytes, 0)
}

// forwardSegment sends a segment over the link with the index at, or delivers the
// segment after the last link. While the source or the receiver is frozen, the
// segment waits; if either has crashed, the segment is lost. transfer.SendTimeout
// after the source finds the receiver unresponsive, the source aborts the pull.
func (r *rollout) forwardSegment(p *pull, bytes int64, at int) {
	now := r.queue.now
	switch {
	case p.ended:
		return
	case p.source.isUnresponsive(now) || p.receiver.isUnresponsive(now):
		if until := max(p.source.frozenUntil, p.receiver.frozenUntil); until > now && !p.source.dead && !p.receiver.dead {
			r.queue.scheduleAt(until, func() { r.forwardSegment(p, bytes, at) })
		}
		if p.receiver.isUnresponsive(now) && !p.abortScheduled {
			p.abortScheduled = true
			r.queue.scheduleAfter(transfer.SendTimeout, func() { r.abortPull(p) })
		}
		return
	case at == len(p.links):
		r.receiveSegment(p, bytes)
		return
	}
	r.queue.scheduleAt(p.links[at].send(now, bytes), func() { r.forwardSegment(p, bytes, at+1) })
}

// receiveSegment handles the arrival of a segment at the receiver. After the last
// segment it ends the pull and tells the policy whether the chunk is intact.
func (r *rollout) receiveSegment(p *pull, bytes int64) {
	p.missingBytes -= bytes
	if p.source == r.origin {
		r.originBytes += bytes
	}
	if p.missingBytes > 0 {
		p.receiver.policy.RecordProgress(p.id, r.virtualTime())
		r.sendSegment(p)
		return
	}
	p.ended = true
	r.releaseUploadSlot(p)
	if p.receiver.activePulls[p.id] != p {
		return
	}
	delete(p.receiver.activePulls, p.id)
	if r.drawCorruption(p) {
		p.receiver.policy.RecordCorrupt(p.id, r.virtualTime())
	} else {
		p.receiver.policy.RecordSuccess(p.id, r.virtualTime())
		r.addChunk(p.receiver, p.chunk)
	}
	r.runPolicy(p.receiver)
}

// abortPull ends a pull at its source because the receiver accepts no bytes. The
// receiver is not told.
func (r *rollout) abortPull(p *pull) {
	if !p.ended {
		p.ended = true
		r.removeFromSource(p)
	}
}

// cancelPull ends a pull that the receiver's policy no longer needs.
func (r *rollout) cancelPull(n *rolloutNode, id int64) {
	p, ok := n.activePulls[id]
	if !ok {
		return
	}
	delete(n.activePulls, id)
	if !p.ended {
		p.ended = true
		if p.started {
			r.removeFromSource(p)
		}
	}
}

// removeFromSource removes an ended pull from the queue of its source, or frees
// its upload slot.
func (r *rollout) removeFromSource(p *pull) {
	for i, queued := range p.source.queuedPulls {
		if queued == p {
			p.source.queuedPulls = append(p.source.queuedPulls[:i], p.source.queuedPulls[i+1:]...)
			return
		}
	}
	r.releaseUploadSlot(p)
}
