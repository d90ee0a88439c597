package fairshare

import (
	"math"

	"github.com/fuchsiarouter/fuchsiarouter/catalog"
)

// maxCost bounds the cost of a request, in seconds of engine time. Reading a prompt that fills the
// memory of an engine, 317,000 tokens, takes 15.3 s.
const maxCost = 20.0

// Cost returns the time of an engine that a request takes, in seconds: that for its prompt, and its
// part of the steps for its output, with all slots in use. Token counts that are not positive are
// those of a usual request. It returns 0 if the engine, which may be nil, has no figures.
func Cost(engine *catalog.Engine, promptTokens, outputTokens int) float64 {
	if engine == nil {
		return 0
	}
	if promptTokens <= 0 {
		promptTokens = engine.MeanPromptTokens
	}
	if outputTokens <= 0 {
		outputTokens = engine.MeanOutputTokens
	}
	cost := 0.0
	if engine.PromptTokensPerSecond > 0 {
		cost += float64(max(promptTokens, 0)) / engine.PromptTokensPerSecond
	}
	if slots := engine.Slots; slots > 0 {
		step := engine.StepTime.Seconds()/float64(slots) + engine.StepTimePerSequence.Seconds()
		cost += float64(max(outputTokens, 0)) * max(step, 0)
	}
	if math.IsNaN(cost) {
		return 0
	}
	return min(cost, maxCost)
}
