package ingress

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/catalog"
	"github.com/fuchsiarouter/fuchsiarouter/explanation"
	"github.com/fuchsiarouter/fuchsiarouter/result"
	"github.com/fuchsiarouter/fuchsiarouter/schedule"
)

// serveExplanation answers where a request would go now, without sending it. Nothing of the query is
// logged, and the API key is in no answer.
func (i *Ingress) serveExplanation(ctx *fasthttp.RequestCtx) {
	if !ctx.IsGet() {
		ctx.Error("only GET is allowed", fasthttp.StatusMethodNotAllowed)
		return
	}
	query, err := explanation.ParseQuery(ctx.QueryArgs())
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	i.metrics.explanations.Inc(1)
	body, err := json.Marshal(i.explain(query))
	if err != nil {
		ctx.Error("the explanation cannot be encoded", fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// explain looks up a request as admit does and asks the scheduler where it would go.
func (i *Ingress) explain(query explanation.Query) *explanation.Answer {
	r := &request{received: time.Now()}
	r.RequestHead = fuchsiarouter.RequestHead{
		AttemptID: query.RequestID, APIKey: query.Key, Model: query.Model,
		PromptTokens: query.PromptTokens, MaxOutputTokens: query.OutputTokens,
	}
	answer := &explanation.Answer{Entry: i.settings.Name, Zone: i.settings.AvailabilityZone, Candidates: []explanation.Candidate{}}
	failure := i.takeConfiguration(r)
	if failure == nil {
		path, _, _ := strings.Cut(query.Path, "?")
		failure = i.lookUpRoute(r, hostName([]byte(query.Host)), path)
	}
	answer.ConfigurationAgeMs = r.configurationAge.Milliseconds()
	if r.configuration != nil {
		answer.Configuration = r.configuration.Version
	}
	if r.route != nil {
		answer.Route, answer.Service, answer.Rank, answer.Workspace = r.route.Name, r.service, r.rank, r.workspace
		if query.Region != "" {
			r.allowedRegions = r.allowedRegions.Intersect(catalog.NewRegionSet([]string{query.Region}))
		}
		if r.allowedRegions != nil {
			// An empty list, of regions without one in common, is not nil, which stands for all.
			names := append([]string{}, r.allowedRegions.Names()...)
			answer.AllowedRegions = names[:min(len(names), explanation.MaxListed)]
		}
	}
	if failure == nil {
		failure = i.checkStop(r)
	}
	if failure != nil {
		setRefusal(answer, failure)
		return answer
	}

	r.scheduling = r.newScheduling()
	answer.Model = r.scheduling.Model
	i.mu.Lock()
	decision, candidates := i.scheduler.Explain(time.Now(), &r.scheduling)
	if answer.Model != "" {
		answer.RequiredVersion = i.scheduler.RequiredVersion(answer.Model)
		if declared := i.declaredVersions[answer.Model]; len(declared) > 0 {
			answer.DeclaredVersion = declared[len(declared)-1].Version
		}
	}
	i.mu.Unlock()
	switch {
	case decision.Server != "":
		answer.Decision, answer.Server = explanation.DecisionSend, decision.Server
	case decision.Queued:
		answer.Decision = explanation.DecisionQueue
	default:
		setRefusal(answer, refusalError(decision))
	}
	listed := candidates[:min(len(candidates), explanation.MaxListed)]
	answer.Omitted = len(candidates) - len(listed)
	for _, candidate := range listed {
		answer.Candidates = append(answer.Candidates, candidateOf(candidate))
	}
	return answer
}

// setRefusal sets the decision of an answer to a refusal.
func setRefusal(answer *explanation.Answer, failure *result.Error) {
	answer.Decision, answer.Result, answer.Reason = explanation.DecisionRefuse, failure.Code.String(), failure.Message
	answer.RetryAfterMs = failure.RetryAfter.Milliseconds()
}

// candidateOf returns a candidate of the scheduler in the form of an answer.
func candidateOf(candidate schedule.Candidate) explanation.Candidate {
	return explanation.Candidate{
		Server: candidate.Server, Zone: candidate.Zone, Region: candidate.Region, Excluded: string(candidate.Excluded),
		HeldVersion: candidate.HeldVersion, InFlight: candidate.InFlight, Slots: candidate.Slots,
		Preferred: candidate.Preferred, PredictedMs: candidate.Predicted.Milliseconds(),
	}
}
