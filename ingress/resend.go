package ingress

import (
	"time"

	"github.com/fuchsiarouter/fuchsiarouter/retry"
)

// maxSends bounds how often this entry sends one request to any server. Unlike the MaxAttempts
// of the route, it includes the sends that a server refuses.
const maxSends = 4

// resendBudget bounds how often this entry sends requests of one service again.
type resendBudget = retry.WindowBudget

// allowResend decides whether the request may be sent again after a failed attempt. notRun
// states that the server certainly did not run the request, connected that a connection
// to the server was made. If a connection was made, a resend is allowed only if the budget
// of the service has one left, which allowResend takes.
func (i *Ingress) allowResend(r *request, notRun, connected bool) bool {
	if !r.canSendAgain(notRun) {
		return false
	}
	if !connected {
		return true
	}
	allowed := false
	i.withResendBudget(r.service, func(budget *resendBudget) {
		allowed = budget.Allow(time.Now(), i.roster.LiveCount(time.Now())+1)
	})
	return allowed
}

// canSendAgain reports whether the limits of the route and of this entry allow another attempt.
// notRun states that the server of the last one certainly did not run the request.
func (r *request) canSendAgain(notRun bool) bool {
	switch {
	case r.attempts >= maxSends:
		return false
	case notRun:
		return r.possibleRuns == 0 || r.possibleRuns < r.route.MaxAttempts
	}
	return r.route.IsIdempotent() && r.possibleRuns < r.route.MaxAttempts
}

// withResendBudget calls use with the resend budget of a service while it holds the lock.
// It creates the budget on first use.
func (i *Ingress) withResendBudget(service string, use func(*resendBudget)) {
	i.mu.Lock()
	defer i.mu.Unlock()
	budget := i.resendBudgets[service]
	if budget == nil {
		budget = retry.NewWindowBudget(i.settings.ResendRatio*resendSafetyFactor,
			i.settings.ResendAllowance*resendSafetyFactor, i.settings.ResendWindow)
		i.resendBudgets[service] = budget
	}
	use(budget)
}
