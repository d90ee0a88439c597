package schedule_test

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fuchsiarouter/fuchsiarouter/availability"
	"github.com/fuchsiarouter/fuchsiarouter/catalog"
	"github.com/fuchsiarouter/fuchsiarouter/schedule"
)

// TestNoRequestInPause guards against a request to a server that has said that it takes none.
func TestNoRequestInPause(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, now := schedule.New("z", keyOf), start
		registered := map[string]*catalog.Server{}
		excluded := map[availability.Server]time.Time{}
		var inFlight []*catalog.Server
		names := rapid.SampledFrom([]string{"a", "b", "c"})
		incarnations := rapid.Int64Range(1, 2)
		mustNot := func(id availability.Server) bool { return now.Before(excluded[id]) }
		decide := func(decision schedule.Decision) {
			if decision.Server == "" {
				return
			}
			server := registered[decision.Server]
			if mustNot(server.Incarnation()) {
				t.Fatalf("%v is selected in its pause", server.Incarnation())
			}
			inFlight = append(inFlight, server)
		}
		apply := func() { s.SetServers(now, maps.Clone(registered)) }
		t.Repeat(map[string]func(*rapid.T){
			"register": func(t *rapid.T) {
				id, started := names.Draw(t, "server"), incarnations.Draw(t, "start")
				registered[id] = &catalog.Server{
					ID: id, Started: started, Service: "s", Address: fmt.Sprint(id, started), AvailabilityZone: "z", Slots: 2, Versions: map[string]int{"m": 1},
				}
				apply()
			},
			"lapse": func(t *rapid.T) {
				delete(registered, names.Draw(t, "server"))
				apply()
			},
			"submit": func(t *rapid.T) {
				request := newRequest(rapid.IntRange(0, 2).Draw(t, "rank"), now)
				request.OnDecision = decide
				request.Resumed = rapid.Bool().Draw(t, "resumed")
				if decision := s.Submit(now, request); !decision.Queued {
					decide(decision)
				}
			},
			"pause": func(t *rapid.T) {
				id := availability.Server{ID: names.Draw(t, "server"), Started: incarnations.Draw(t, "start")}
				id.Address = fmt.Sprint(id.ID, id.Started)
				pause := time.Duration(rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "pause"))
				if until := now.Add(pause); until.After(excluded[id]) {
					excluded[id] = until
				}
				s.Pause(now, id, pause)
			},
			"leave": func(t *rapid.T) {
				id := availability.Server{ID: names.Draw(t, "server"), Started: incarnations.Draw(t, "start")}
				id.Address = fmt.Sprint(id.ID, id.Started)
				excluded[id] = start.Add(time.Hour)
				s.MarkLeaving(now, id)
			},
			"release": func(t *rapid.T) {
				if len(inFlight) == 0 {
					return
				}
				server := inFlight[0]
				inFlight = inFlight[1:]
				outcome := rapid.SampledFrom([]schedule.Outcome{schedule.Completed, schedule.Refused, schedule.Cancelled, schedule.AskedForPause}).Draw(t, "outcome")
				s.Release(now, server.ID, "s", outcome)
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "wait")))
				s.Tick(now)
			},
			"": func(t *rapid.T) {
				for _, server := range inFlight {
					if id := server.Incarnation(); mustNot(id) && s.Takes(now, id) {
						t.Fatalf("a request is written to %v in its pause", id)
					}
				}
			},
		})
	})
}
