package agent

import (
	"context"
	"sync"

	"github.com/go-faster/errors"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/engine"
)

// errSuperseded reports that the engine has received orders from a newer agent
// process on the same VM. This process must not send any more.
var errSuperseded = errors.New("the engine has orders of a newer agent")

// fencedEngine sends this agent process's orders to the engine with a fencing
// token: a number that is higher for a newer process, and by which an engine
// recognizes orders of older ones. Before each order it reads the engine's status:
// after a pause or a restart the agent's own view may be outdated, and an engine
// that does not check fencing tokens would follow an order based on that view. An
// order is not sent when a newer agent process has sent one. Nor is an order to load an
// adapter or to change the role sent again when it already took effect although its
// answer was lost.
//
// An order without an answer may be executed after later ones. The later ones therefore carry
// a higher token, so that an engine which checks tokens refuses the late order.
type fencedEngine struct {
	fuchsiarouter.Engine

	mu sync.Mutex
	// token is the fencing token of the next order. It starts as the incarnation of
	// the agent.
	token int64
	// isTokenKnown is set once the token was compared with the engine's.
	isTokenKnown bool
	// isOrderUnanswered is set while an order with the token has no answer and may be
	// executed later.
	isOrderUnanswered bool
}

// processTokens is the number of fencing tokens that are left to an earlier agent process whose
// clock was ahead. A process uses a further token after each order without an answer.
const processTokens = 1 << 20

// checkToken returns the fencing token for the next order, or errSuperseded if the engine's
// status has a higher one. On the first call, the token is raised above the
// engine's, because the clock of an earlier agent process may have been ahead. A
// higher token that appears later belongs to a newer process. After an order without an
// answer, the token is raised by one.
func (e *fencedEngine) checkToken(status fuchsiarouter.EngineStatus) (token int64, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.isTokenKnown {
		e.token, e.isTokenKnown = max(e.token, status.FencingToken+processTokens), true
	}
	if status.FencingToken > e.token {
		return 0, errSuperseded
	}
	if e.isOrderUnanswered {
		e.token, e.isOrderUnanswered = e.token+1, false
	}
	return e.token, nil
}

// recordOutcome notes whether an order with the token has no answer. tookEffect reports whether
// the engine's status shows that it was executed nevertheless, and then there is no error.
func (e *fencedEngine) recordOutcome(ctx context.Context, token int64, err error, tookEffect func(fuchsiarouter.EngineStatus) bool) error {
	if !errors.Is(err, engine.ErrUnanswered) {
		return err
	}
	if status, statusErr := e.Status(ctx); statusErr == nil && tookEffect(status) {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if token == e.token {
		e.isOrderUnanswered = true
	}
	return err
}

// isOutdated reports whether later orders carry a higher token than this one.
func (e *fencedEngine) isOutdated(token int64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return token < e.token || e.isOrderUnanswered
}

// readStatus returns the engine's status and the fencing token for an order, or
// errSuperseded (see checkToken).
func (e *fencedEngine) readStatus(ctx context.Context) (status fuchsiarouter.EngineStatus, token int64, err error) {
	status, err = e.Status(ctx)
	if err != nil {
		return status, 0, err
	}
	token, err = e.checkToken(status)
	return status, token, err
}

// Load implements fuchsiarouter.Engine with the fencing token of this process. A load during
// which another order raised the token begins again.
func (e *fencedEngine) Load(ctx context.Context, order fuchsiarouter.LoadOrder) (string, error) {
	for {
		digest, token, err := e.loadOnce(ctx, order)
		if !errors.Is(err, engine.ErrFenced) || !e.isOutdated(token) {
			return digest, err
		}
	}
}

// loadOnce loads a version or adapter with one fencing token, which it returns.
func (e *fencedEngine) loadOnce(ctx context.Context, order fuchsiarouter.LoadOrder) (digest string, token int64, err error) {
	status, token, err := e.readStatus(ctx)
	if err != nil {
		return "", token, err
	}
	// A version is ordered even when it is ready, because the order also tells the
	// engine the fencing token of this process. An adapter is not ordered again.
	_, adapter := fuchsiarouter.SplitIdentity(order.Digest)
	tookEffect := func(status fuchsiarouter.EngineStatus) bool {
		return adapter != "" && status.FencingToken == token && isReady(status, order.Model, order.Digest)
	}
	if tookEffect(status) {
		return order.Digest, token, nil
	}
	order.FencingToken = token
	digest, err = e.Engine.Load(ctx, order)
	if err == nil {
		return digest, token, nil
	}
	return order.Digest, token, e.recordOutcome(ctx, token, err, tookEffect)
}

// Unload implements fuchsiarouter.Engine with the fencing token of this process.
func (e *fencedEngine) Unload(ctx context.Context, model, digest string, _ int64) error {
	_, token, err := e.readStatus(ctx)
	if err != nil {
		return err
	}
	err = e.Engine.Unload(ctx, model, digest, token)
	return e.recordOutcome(ctx, token, err, func(fuchsiarouter.EngineStatus) bool { return false })
}

// ChangeRole implements fuchsiarouter.Engine with the fencing token of this process.
func (e *fencedEngine) ChangeRole(ctx context.Context, role fuchsiarouter.Role, _ int64) error {
	status, token, err := e.readStatus(ctx)
	if err != nil {
		return err
	}
	if status.Role == role && status.FencingToken == token {
		return nil
	}
	previous := status.Role
	err = e.Engine.ChangeRole(ctx, role, token)
	return e.recordOutcome(ctx, token, err, func(status fuchsiarouter.EngineStatus) bool {
		return status.Role == role && previous != role && status.FencingToken == token
	})
}

// isReady reports whether, by its status, the engine has the version or adapter
// ready.
func isReady(status fuchsiarouter.EngineStatus, model, digest string) bool {
	for _, version := range status.Versions {
		if version.Model == model && version.Digest == digest {
			return version.State == fuchsiarouter.VersionReady
		}
	}
	return false
}
