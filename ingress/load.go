package ingress

import (
	"time"

	"go.uber.org/zap"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/catalog"
)

// recordLoad passes the load that a server reports in a response to the scheduler.
func (i *Ingress) recordLoad(server *catalog.Server, reply fuchsiarouter.ResponseHead) {
	if reply.LoadMalformed && !i.loadMalformed.Swap(true) {
		i.log.Warn("load of a server cannot be read and is ignored; logged once", zap.String("server", server.ID), zap.Int64("started", server.Started))
	}
	if !reply.HasLoad || reply.ServerReplaced {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.scheduler.RecordLoad(time.Now(), server.ID, reply.Running, reply.Waiting, reply.Slots, reply.Pace)
}

// recordFirstEvent passes the time from sending a request to the head of its response to the
// scheduler, and records the error of the prediction, if there was one.
func (i *Ingress) recordFirstEvent(r *request, server string, took time.Duration, success bool) {
	now := time.Now()
	i.mu.Lock()
	event, known := i.scheduler.RecordServerFirstEvent(now, server, &r.scheduling, took, success)
	i.mu.Unlock()
	if !known {
		return
	}
	i.metrics.recordPrediction(event.Predicted, took)
	if !r.scheduling.Resumed {
		i.metrics.recordTarget(event.LongPrompt, !now.After(r.scheduling.FirstEventTarget))
	}
}
