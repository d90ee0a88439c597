package agent

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/engine"
)

// roleRetryInterval is the minimum time between two orders to change the role. It is
// longer than statusInterval, so that the agent reads the engine's status after an
// order before it repeats the order.
const roleRetryInterval = time.Second

// roleManager makes the engine change its role to the configured one. The role says
// which phases of a request the engine runs; only with RoleBoth it runs whole
// requests. While the current or the configured role is another one, the agent
// refuses requests for models, because they are for a whole request. The engine is
// ordered to change its role once no request is in progress, because the change
// may cut them.
type roleManager struct {
	log    *zap.Logger
	engine fuchsiarouter.Engine
	// onChange is called when the engine reports another role than before.
	onChange func()
	// inProgress is the number of requests at this agent that have not ended,
	// including those that wait in the queue.
	inProgress *atomic.Int64

	mu sync.Mutex
	// wanted is the configured role, and actual the one that the engine reports.
	// They are empty while not known.
	wanted, actual fuchsiarouter.Role
	// isOrderInProgress is set from the sending of an order until the engine answers
	// or the order fails. orderedAt is when the last order was sent.
	isOrderInProgress bool
	orderedAt         time.Time
	// unsettled is the role of an order that the engine may still execute: it is in progress
	// or had no answer. It is empty if there is none. A later order that is answered
	// settles it.
	unsettled fuchsiarouter.Role
}

// advertisedRole returns the role for the heartbeat: the configured one if it is not
// RoleBoth, otherwise the engine's or that of an unsettled order. It is empty while the
// engine runs whole requests and is configured to keep doing so, and while neither role
// is known.
func (r *roleManager) advertisedRole() fuchsiarouter.Role {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, role := range []fuchsiarouter.Role{r.wanted, r.actual, r.unsettled} {
		if role != "" && role != fuchsiarouter.RoleBoth {
			return role
		}
	}
	return ""
}

// setWanted sets the configured role, and orders the change if one is due.
func (r *roleManager) setWanted(wanted fuchsiarouter.Role) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wanted = wanted
	r.orderRoleIfDue(time.Now())
}

// setActual sets the role that the engine reports, and orders a change if one is
// due. An engine that reports no role has RoleBoth.
func (r *roleManager) setActual(actual fuchsiarouter.Role) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if actual == "" {
		actual = fuchsiarouter.RoleBoth
	}
	if r.actual != actual {
		r.actual = actual
		r.onChange()
	}
	r.orderRoleIfDue(time.Now())
}

// orderRoleIfDue orders the engine, in the background, to change to the wanted role
// if it has another one or an order is unsettled, no request and no order is in
// progress, and the last order is at least roleRetryInterval ago. The caller holds the
// lock.
func (r *roleManager) orderRoleIfDue(now time.Time) {
	isDue := r.wanted != r.actual || r.unsettled != ""
	isPossible := r.wanted != "" && r.actual != "" && !r.isOrderInProgress && now.Sub(r.orderedAt) >= roleRetryInterval
	if !isDue || !isPossible || r.inProgress.Load() > 0 {
		return
	}
	r.isOrderInProgress, r.orderedAt = true, now
	wanted, unsettledBefore := r.wanted, r.unsettled
	if unsettledBefore == "" || unsettledBefore == fuchsiarouter.RoleBoth {
		r.unsettled = wanted
	}
	go func() {
		err := r.engine.ChangeRole(context.Background(), wanted, 0)
		if err != nil {
			r.log.Warn("role change failed", zap.String("role", string(wanted)), zap.Error(err))
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		r.isOrderInProgress = false
		switch {
		case err == nil:
			r.unsettled = ""
		case !errors.Is(err, engine.ErrUnanswered):
			r.unsettled = unsettledBefore
		}
	}()
}
