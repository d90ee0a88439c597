package workload_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/fuchsiarouter/fuchsiarouter/catalog"
	"github.com/fuchsiarouter/fuchsiarouter/workload"
)

// start is the time at which the tests begin.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// engine has a step of 10 ms and reads 20 tokens of a prompt in a millisecond.
var engine = &catalog.Engine{
	Slots: 12, StepTime: 10 * time.Millisecond, StepsPerPass: 5, PromptTokensPerSecond: 20_000, MeanPromptTokens: 1000, MeanOutputTokens: 90,
}

func ExampleModel_Predict() {
	model := workload.NewModel(engine)
	var server workload.Server
	reading := model.Reading(4000)
	first := workload.Duration(model.Predict(start, &server, 0, 0, reading).FirstEvent)
	server.Add(workload.Send{Request: 1, Reading: reading, Predicted: first, SentAt: start})
	second := workload.Duration(model.Predict(start, &server, 1, 0, reading).FirstEvent)
	fmt.Println(first, second)
	// Output: 250ms 475ms
}

// TestPredictionsAreFinite guards against figures of a configuration, counts of callers, and loads
// and times of servers that make a prediction negative or no number, which would stop the selection
// of servers.
func TestPredictionsAreFinite(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		number := rapid.IntRange(-1_000_000, 1_000_000)
		duration := rapid.Custom(func(t *rapid.T) time.Duration { return time.Duration(number.Draw(t, "duration")) })
		model := workload.NewModel(&catalog.Engine{
			Slots: number.Draw(t, "slots"), StepTime: duration.Draw(t, "step"), StepTimePerSequence: duration.Draw(t, "sequence"),
			ContextTimePerThousand: duration.Draw(t, "context"), PairTimePerMillion: duration.Draw(t, "pairs"),
			PromptTokensPerSecond: rapid.Float64Range(-1e9, 1e9).Draw(t, "read"), StepsPerPass: number.Draw(t, "steps"),
			MeanPromptTokens: number.Draw(t, "prompt"), MeanOutputTokens: number.Draw(t, "output"),
		})
		var server workload.Server
		now := start
		for request := range rapid.IntRange(0, 8).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "pause")))
			server.RecordLoad(now, number.Draw(t, "elsewhere"), rapid.Float64().Draw(t, "pace"))
			server.RecordFirstEvent(now, duration.Draw(t, "predicted"), duration.Draw(t, "took"))
			prediction := model.Predict(now, &server, request, server.Elsewhere(now, 0), model.Reading(number.Draw(t, "tokens")))
			for _, ms := range []float64{prediction.FirstEvent, prediction.Pause} {
				if !(ms >= 0) || math.IsInf(ms, 0) {
					t.Fatalf("prediction %v", prediction)
				}
			}
			server.Add(workload.Send{Request: request, Reading: model.Reading(0), Predicted: workload.Duration(prediction.FirstEvent), SentAt: now})
		}
	})
}

// TestUrgencyKeepsRanks guards against a request that passes one of a more urgent rank at an engine
// because its prompt is shorter, and against long prompts that go first within a rank.
func TestUrgencyKeepsRanks(t *testing.T) {
	model := workload.NewModel(engine)
	rapid.Check(t, func(t *rapid.T) {
		rank, lower := rapid.IntRange(0, 4).Draw(t, "rank"), rapid.IntRange(0, 4).Draw(t, "lower")
		tokens, more := rapid.IntRange(1, 5000).Draw(t, "tokens"), rapid.IntRange(0, 5000).Draw(t, "more")
		passedOver := rapid.Bool().Draw(t, "passed-over")
		urgency := model.Urgency(rank, model.Reading(tokens), passedOver)
		if urgency < 0 || urgency > 9 {
			t.Fatalf("urgency %d", urgency)
		}
		if other := model.Urgency(rank, model.Reading(tokens+more), passedOver); other < urgency {
			t.Fatalf("a longer prompt has urgency %d, a shorter one %d", other, urgency)
		}
		if rank < lower && rank < 3 && urgency >= model.Urgency(lower, model.Reading(1), true) {
			t.Fatalf("rank %d has urgency %d, like rank %d", rank, urgency, lower)
		}
	})
	g := gomega.NewWithT(t)
	g.Expect(model.Urgency(0, model.Reading(4000), true)).To(gomega.BeZero())
	g.Expect(model.Urgency(0, model.Reading(4000), false)).To(gomega.Equal(2))
}

// TestSlowServer guards against requests to a server that reports to be slow, or whose first events
// come late or not at all, and against one that is avoided for ever.
func TestSlowServer(t *testing.T) {
	g := gomega.NewWithT(t)
	model := workload.NewModel(engine)
	reading := model.Reading(1000)
	predict := func(server *workload.Server, now time.Time) float64 {
		return model.Predict(now, server, 1, 0, reading).FirstEvent
	}
	var usual, slow, late, silent workload.Server
	slow.RecordLoad(start, 0, 1)
	for range 2 {
		slow.RecordLoad(start, 0, 2.5)
	}
	for range 50 {
		late.RecordFirstEvent(start, 100*time.Millisecond, 130*time.Millisecond)
	}
	silent.Add(workload.Send{Request: 1, Predicted: 100 * time.Millisecond, SentAt: start})
	soon := start.Add(600 * time.Millisecond)
	g.Expect(predict(&slow, start)).To(gomega.BeNumerically(">", 2*predict(&usual, start)))
	g.Expect(predict(&late, start)).To(gomega.BeNumerically(">", 1.2*predict(&usual, start)))
	g.Expect(predict(&silent, soon)).To(gomega.BeNumerically(">", predict(&usual, soon)+400))
	later := start.Add(time.Hour)
	g.Expect(predict(&slow, later)).To(gomega.BeNumerically("<", 1.2*predict(&usual, later)))
	g.Expect(predict(&late, later)).To(gomega.BeNumerically("~", predict(&usual, later)))
	_, known := silent.Remove(1)
	g.Expect(known).To(gomega.BeTrue())
	_, known = silent.Remove(1)
	g.Expect(known).To(gomega.BeFalse())
	g.Expect(predict(&silent, soon)).To(gomega.Equal(predict(&usual, soon)))
}
