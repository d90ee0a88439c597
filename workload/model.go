// Package workload predicts how long a model engine takes until the first event of a response and
// between two events, from the figures of the engine in the operators' configuration and from the
// requests that are known to be at the engine.
//
// An engine processes all its work in passes of a fixed number of steps. Each step generates a
// token for every request that is writing, and the prompts of new requests are read in pieces
// between the steps. A response to a request therefore begins after the requests ahead of it in the
// engine's queue have got a slot, after the prompts ahead of its own were read, after its own prompt
// was read, and at the end of a pass.
//
// The package has no clock, sockets or locks.
package workload

import (
	"time"

	"github.com/fuchsiarouter/fuchsiarouter/catalog"
)

// Figures of an engine that are assumed where the configuration has none.
const (
	defaultSlots            = 8
	defaultStep             = 10 * time.Millisecond
	defaultTokensPerSecond  = 20_000
	defaultStepsPerPass     = 5
	defaultMeanPromptTokens = 1000
	defaultMeanOutputTokens = 90
)

// Model holds the figures of the engines of a service. Times are in milliseconds, on a server with
// the usual pace.
type Model struct {
	// Slots is the number of requests that an engine runs at once.
	Slots float64
	// Step is the time of one step, StepPerWriter what each writing request adds to it.
	Step, StepPerWriter float64
	// ReadToken is the time to read a token of a prompt, ReadPair that for a pair of a token and an
	// earlier token.
	ReadToken, ReadPair float64
	// ReadPerStep is the maximum number of prompt tokens that one step reads, 0 without a limit.
	ReadPerStep float64
	// StepsPerPass is the number of steps of a pass.
	StepsPerPass float64
	// MeanPrompt and MeanOutput are the mean numbers of tokens of a prompt and of a response.
	MeanPrompt, MeanOutput float64

	// meanReading is the time to read a prompt of the mean length, meanStay the time that a
	// request of the mean lengths runs at an engine whose slots are all in use.
	meanReading, meanStay float64
}

// NewModel returns the model for the engines of a service.
func NewModel(engine *catalog.Engine) Model {
	m := Model{
		Slots:        positiveOr(float64(engine.Slots), defaultSlots),
		Step:         positiveOr(milliseconds(engine.StepTime), milliseconds(defaultStep)),
		ReadToken:    1000 / positiveOr(engine.PromptTokensPerSecond, defaultTokensPerSecond),
		ReadPair:     max(milliseconds(engine.PairTimePerMillion), 0) / 1e6,
		ReadPerStep:  max(float64(engine.PromptTokensPerStep), 0),
		StepsPerPass: positiveOr(float64(engine.StepsPerPass), defaultStepsPerPass),
		MeanPrompt:   positiveOr(float64(engine.MeanPromptTokens), defaultMeanPromptTokens),
		MeanOutput:   positiveOr(float64(engine.MeanOutputTokens), defaultMeanOutputTokens),
	}
	meanContext := m.MeanPrompt + m.MeanOutput/2
	m.StepPerWriter = max(milliseconds(engine.StepTimePerSequence), 0) + max(milliseconds(engine.ContextTimePerThousand), 0)*meanContext/1000
	m.meanReading = m.Reading(0)
	// While a request of a full engine runs, each of the others ends once on average, and the
	// prompt of its successor is read.
	m.meanStay = m.MeanOutput*(m.Step+m.Slots*m.StepPerWriter) + m.Slots*m.meanReading
	return m
}

// positiveOr returns the value, or another one if it is not positive.
func positiveOr(value, other float64) float64 {
	if value > 0 {
		return value
	}
	return other
}

// milliseconds returns a duration in milliseconds.
func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Duration returns a time in milliseconds as a duration, an hour at most.
func Duration(ms float64) time.Duration {
	return time.Duration(min(max(ms, 0), 3.6e6) * float64(time.Millisecond))
}

// maxPromptTokens bounds the prompt that is predicted, so that a wrong count of a caller does not
// make a server look busy for long.
const maxPromptTokens = 200_000

// Reading returns the time in ms to read a prompt. A prompt of 0 tokens, the count of a caller who
// does not say, is taken to have the mean length.
func (m *Model) Reading(tokens int) float64 {
	n := m.MeanPrompt
	if tokens > 0 {
		n = float64(min(tokens, maxPromptTokens))
	}
	return n*m.ReadToken + n*n/2*m.ReadPair
}

// MeanReading returns the time in ms to read a prompt of the mean length.
func (m *Model) MeanReading() float64 { return m.meanReading }

// Rate returns the number of requests of the mean lengths that a server ends per second while all its
// slots are in use.
func (m *Model) Rate() float64 { return m.Slots / m.meanStay * 1000 }

// pass returns the time in ms of a pass with the given number of writing requests, without the
// prompts that are read in it.
func (m *Model) pass(writers float64) float64 {
	return m.StepsPerPass * (m.Step + writers*m.StepPerWriter)
}
