package availability_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/fuchsiarouter/fuchsiarouter/availability"
)

// start is the time at which the tests begin.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// maxJitter is the longest time for which a pause may last longer than asked for.
const maxJitter = 500 * time.Millisecond

func ExampleTracker() {
	tracker := availability.New()
	server := availability.Server{ID: "i-1", Address: "10.0.0.1:8000", Started: 1}
	state := tracker.Pause(start, server, 2*time.Second)
	fmt.Println(state.Takes(start.Add(time.Second), 0), state.Takes(start.Add(3*time.Second), 0), state.Takes(start.Add(3*time.Second), 1))
	tracker.MarkLeaving(start, server)
	fmt.Println(state.Takes(start.Add(3*time.Second), 0))
	// Output:
	// false true false
	// false
}

// model is what the servers of TestRandomOrders have said.
type model struct {
	leaving     bool
	pausedUntil time.Time
}

// TestRandomOrders guards against requests to a server that has said that it leaves or wants a
// pause, and against mistaking incarnations for one another, in any order of what servers say.
func TestRandomOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker, now := availability.New(), start
		models := map[availability.Server]*model{}
		servers := rapid.Custom(func(t *rapid.T) availability.Server {
			return availability.Server{
				ID: rapid.SampledFrom([]string{"i-1", "i-2"}).Draw(t, "id"), Address: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "address"),
				Started: rapid.Int64Range(0, 2).Draw(t, "started"),
			}
		})
		modelOf := func(server availability.Server) *model {
			if models[server] == nil {
				models[server] = &model{}
			}
			return models[server]
		}
		t.Repeat(map[string]func(*rapid.T){
			"leave": func(t *rapid.T) {
				server := servers.Draw(t, "server")
				_, added := tracker.MarkLeaving(now, server)
				if added == modelOf(server).leaving {
					t.Fatalf("%v: added %v", server, added)
				}
				models[server].leaving = true
			},
			"pause": func(t *rapid.T) {
				server := servers.Draw(t, "server")
				pause := time.Duration(rapid.Int64Range(-int64(time.Second), int64(5*time.Second)).Draw(t, "pause"))
				tracker.Pause(now, server, pause)
				if until := now.Add(pause); until.After(modelOf(server).pausedUntil) && pause > 0 {
					models[server].pausedUntil = until
				}
			},
			"complete": func(t *rapid.T) { tracker.Find(servers.Draw(t, "server")).RecordCompleted(now) },
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.Int64Range(0, int64(2*time.Second)).Draw(t, "wait")))
			},
			"restart": func(t *rapid.T) {
				server := servers.Draw(t, "server")
				tracker.Forget(server)
				delete(models, server)
			},
			"": func(t *rapid.T) {
				for server, model := range models {
					state := tracker.Find(server)
					if mustNot := model.leaving || now.Before(model.pausedUntil); mustNot && state.Takes(now, 0) {
						t.Fatalf("%v takes a request at %v", server, now)
					}
					if may := !model.leaving && now.Sub(model.pausedUntil) > maxJitter; may && !state.Takes(now, 0) {
						t.Fatalf("%v takes no request at %v, its pause ended at %v", server, now, model.pausedUntil)
					}
				}
			},
		})
	})
}

// TestReturnsGradually guards against a server that gets all requests at once after its pause, and
// against one that never gets all of them again.
func TestReturnsGradually(t *testing.T) {
	g := gomega.NewWithT(t)
	state := availability.New().Pause(start, availability.Server{ID: "i-1"}, time.Second)
	now := start.Add(2 * time.Second)
	for _, allowance := range []int{1, 2, 4, 8} {
		g.Expect(state.Takes(now, allowance-1)).To(gomega.BeTrue())
		g.Expect(state.Takes(now, allowance)).To(gomega.BeFalse())
		state.RecordCompleted(now)
	}
	g.Expect(state.Takes(now, 1000)).To(gomega.BeTrue())
}

// TestBoundedMemory guards against a tracker that grows with each server that has ever left, and
// against forgetting the latest ones.
func TestBoundedMemory(t *testing.T) {
	g := gomega.NewWithT(t)
	tracker := availability.New()
	const servers = 10_000
	for number := range servers {
		tracker.MarkLeaving(start, availability.Server{ID: fmt.Sprint(number)})
	}
	remembered := 0
	for number := range servers {
		if tracker.Find(availability.Server{ID: fmt.Sprint(number)}) != nil {
			remembered++
		}
	}
	g.Expect(remembered).To(gomega.BeNumerically("<", servers/2))
	g.Expect(tracker.Find(availability.Server{ID: fmt.Sprint(servers - 1)}).IsLeaving()).To(gomega.BeTrue())
	g.Expect(tracker.Find(availability.Server{ID: "0"})).To(gomega.BeNil())
}

// TestReportsStaySmall guards against messages that repeat all leaving servers each time, and
// against leaving servers of which a daemon that starts later is never told.
func TestReportsStaySmall(t *testing.T) {
	g := gomega.NewWithT(t)
	tracker := availability.New()
	const servers, perSecond = 100, 7
	for number := range servers {
		tracker.MarkLeaving(start, availability.Server{ID: fmt.Sprintf("i-%010x", number), Address: fmt.Sprintf("10.0.0.%d:8486", number), Started: start.UnixMilli()})
	}
	all := func(availability.Server) bool { return true }
	g.Expect(tracker.Report(start, all)).To(gomega.HaveLen(availability.MaxReported))
	later, told, size := start.Add(time.Minute), map[availability.Server]bool{}, 0
	for range 60 * perSecond {
		report := tracker.Report(later, all)
		encoded, err := cbor.Marshal(report)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		size += len(encoded)
		for _, server := range report {
			told[server] = true
		}
	}
	g.Expect(told).To(gomega.HaveLen(servers))
	// Two entries are sent reports, and all control traffic of a daemon may have 10 KB/s.
	g.Expect(2 * size / 60).To(gomega.BeNumerically("<", 10_000/3))
	t.Logf("%d bytes per second", 2*size/60)
}

// BenchmarkTakes measures the check of one candidate for one request.
func BenchmarkTakes(b *testing.B) {
	for _, servers := range []int{15, 271, 10_000} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			tracker := availability.New()
			states := make([]*availability.State, servers)
			for number := range states {
				server := availability.Server{ID: fmt.Sprint(number)}
				switch number % 3 {
				case 1:
					states[number] = tracker.Pause(start, server, time.Minute)
				case 2:
					states[number], _ = tracker.MarkLeaving(start, server)
				}
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				states[i%servers].Takes(start, 0)
			}
		})
	}
}
