package cold_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/fuchsiarouter/fuchsiarouter/cold"
)

// begin is the boot time at which the tests begin.
const begin = 1000 * time.Second

// The service, the bound and the resulting allowance of the deployment K.
var (
	service = cold.Service{Time: 3 * time.Second, Rate: 26}
	bound   = cold.Bound{Excess: 1.5, Slack: 5}
)

const allowance = 44

// addresses returns the addresses of entries of a zone.
func addresses(zone string, count int) []string {
	entries := make([]string, count)
	for i := range entries {
		entries[i] = fmt.Sprintf("%s-%d", zone, i)
	}
	return entries
}

// newLimiter returns the limiter of an entry with the service "s".
func newLimiter(self, zone string) *cold.Limiter {
	limiter := cold.New(self, zone, bound)
	limiter.SetServices(map[string]cold.Service{"s": service})
	return limiter
}

// settle gives a limiter the view for long enough to begin, and returns the time.
func settle(limiter *cold.Limiter, now time.Duration, view cold.View) time.Duration {
	for range 60 {
		limiter.SetView(now, view)
		now += 100 * time.Millisecond
	}
	limiter.SetView(now, view)
	return now
}

// ownZone returns a view in which the zone a has the entries, with contact.
func ownZone(count int) cold.View {
	return cold.View{Zones: []cold.Zone{{Name: "a", Entries: addresses("a", count), Live: true}}, InContact: true, HasRegistry: true}
}

// coldServer returns a server of a zone that says that it stays cold for a minute.
func coldServer(limiter *cold.Limiter, now time.Duration, id, zone string) *cold.Server {
	return limiter.Add(now, id, "s", zone, cold.Registration{Sequence: 9, ColdFor: time.Minute, Age: time.Hour})
}

// advance gives a limiter the view in each interval up to a time, and returns the time.
func advance(limiter *cold.Limiter, from, to time.Duration, view cold.View) time.Duration {
	for now := from; now <= to; now += 100 * time.Millisecond {
		limiter.SetView(now, view)
	}
	limiter.SetView(to, view)
	return to
}

// burst returns how many requests an entry may send to a server at once, which answers them at
// once.
func burst(limiter *cold.Limiter, now time.Duration, server *cold.Server) int {
	sent := 0
	for sent < 1000 && limiter.Allows(now, server) {
		limiter.Reserve(now, server)
		limiter.Send(now, server)
		limiter.End(now, server, now)
		sent++
	}
	return sent
}

// largestSecond returns the largest number of the times within a second.
func largestSecond(times []time.Duration) int {
	slices.Sort(times)
	largest, first := 0, 0
	for i, at := range times {
		for at-times[first] >= time.Second {
			first++
		}
		largest = max(largest, i-first+1)
	}
	return largest
}

// simulatedEntry is an entry that sends as much as its limiter allows.
type simulatedEntry struct {
	limiter *cold.Limiter
	servers []*cold.Server
	// view returns what the entry knows at a time, and runs whether its process runs.
	view func(now time.Duration) cold.View
	runs func(now time.Duration) bool
	// waiting holds requests that wait for a connection, inFlight those whose response has not
	// begun.
	waiting, inFlight []simulatedRequest
}

// simulatedRequest is a request to a server that waits until a time.
type simulatedRequest struct {
	server        int
	until, sentAt time.Duration
}

// maxSelections bounds the selections of one server by an entry in one step of play.
const maxSelections = 50

// play runs the entries for the given time and returns the arrivals at each server.
func play(random *rand.Rand, entries []*simulatedEntry, servers int, duration time.Duration) [][]time.Duration {
	arrivals := make([][]time.Duration, servers)
	for now := begin; now < begin+duration; now += 10 * time.Millisecond {
		for _, entry := range entries {
			if !entry.runs(now) {
				continue
			}
			// What was selected or written before a suspension goes on before the view is updated.
			entry.waiting = slices.DeleteFunc(entry.waiting, func(request simulatedRequest) bool {
				if now < request.until {
					return false
				}
				server := entry.servers[request.server]
				if entry.limiter.Send(now, server) {
					delay := time.Duration(random.IntN(40)) * time.Millisecond
					arrivals[request.server] = append(arrivals[request.server], now+delay)
					answer := now + delay + time.Duration(random.IntN(400))*time.Millisecond
					entry.inFlight = append(entry.inFlight, simulatedRequest{request.server, answer, now})
				}
				return true
			})
			entry.inFlight = slices.DeleteFunc(entry.inFlight, func(request simulatedRequest) bool {
				if now >= request.until {
					entry.limiter.End(now, entry.servers[request.server], request.sentAt)
				}
				return now >= request.until
			})
			for i, server := range entry.servers {
				for range maxSelections {
					if !entry.limiter.Allows(now, server) {
						break
					}
					entry.limiter.Reserve(now, server)
					connect := time.Duration(0)
					if random.IntN(5) == 0 {
						connect = time.Duration(random.IntN(1200)) * time.Millisecond
					}
					entry.waiting = append(entry.waiting, simulatedRequest{server: i, until: now + connect})
				}
			}
			if now%(150*time.Millisecond) == 0 {
				entry.limiter.SetView(now, entry.view(now))
			}
		}
	}
	return arrivals
}

// TestWaveOfColdServers guards against cold servers that crash because entries with different views together send more than the allowance.
func TestWaveOfColdServers(t *testing.T) {
	const servers, wave = 12, 10 * time.Second
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			g := gomega.NewWithT(t)
			random := rand.New(rand.NewPCG(seed, 1))
			always := func(time.Duration) bool { return true }
			var entries []*simulatedEntry
			add := func(zone, self string, view func(time.Duration) cold.View, runs func(time.Duration) bool) {
				entry := &simulatedEntry{limiter: newLimiter(self, zone), view: view, runs: runs}
				entry.limiter.ServersKnown(begin)
				for i := range servers {
					registration := cold.Registration{Sequence: 9, Age: time.Hour, ColdFor: time.Minute}
					entry.servers = append(entry.servers, entry.limiter.Add(begin, fmt.Sprint("server ", i), "s", "a", registration))
				}
				entries = append(entries, entry)
			}
			all := addresses("a", 15)
			// Four entries start at 15 s. The others learn of them after up to 0.6 s.
			known := func(now, delay time.Duration) []string {
				if now < begin+15*time.Second+delay {
					return all[:11]
				}
				return all
			}
			for i, self := range all[:11] {
				delay := time.Duration(random.IntN(600)) * time.Millisecond
				runs := always
				// One entry is suspended from 12 to 18 s.
				if i == 3 {
					runs = func(now time.Duration) bool { return now < begin+12*time.Second || now >= begin+18*time.Second }
				}
				add("a", self, func(now time.Duration) cold.View {
					// One entry is cut off from 12 s on, one had an old view all the time.
					if i == 1 && now >= begin+12*time.Second {
						return cold.View{Zones: []cold.Zone{{Name: "a", Entries: all[1:2], Live: true}}}
					}
					if i == 2 {
						return cold.View{Zones: []cold.Zone{{Name: "a", Entries: all[1:3], Live: true}}}
					}
					return cold.View{
						Zones: []cold.Zone{{Name: "a", Entries: known(now, delay), Live: true}}, InContact: true, HasRegistry: true,
					}
				}, runs)
			}
			for _, self := range all[11:] {
				add("a", self, func(now time.Duration) cold.View {
					// For a second, a new entry knows few others.
					entries := []string{self, all[0]}
					if now >= begin+16*time.Second {
						entries = all
					}
					return cold.View{Zones: []cold.Zone{{Name: "a", Entries: entries, Live: true}}, InContact: true, HasRegistry: true}
				}, func(now time.Duration) bool { return now >= begin+15*time.Second })
			}
			// The entries of two other zones believe that those of the zone are gone.
			for _, zone := range []string{"b", "c"} {
				for _, self := range addresses(zone, 11) {
					add(zone, self, func(now time.Duration) cold.View {
						isLive := now < begin+14*time.Second
						return cold.View{Zones: []cold.Zone{
							{Name: "a", Entries: all[:11], Live: isLive},
							{Name: "b", Entries: addresses("b", 11), Live: zone == "b" || isLive},
							{Name: "c", Entries: addresses("c", 11), Live: zone == "c"},
						}, InContact: true, HasRegistry: true}
					}, always)
				}
			}
			arrivals := play(random, entries, servers, 20*time.Second+wave)
			for i, times := range arrivals {
				g.Expect(len(times)).To(gomega.BeNumerically(">", 200), "server %d", i)
				g.Expect(largestSecond(times)).To(gomega.BeNumerically("<=", allowance), "server %d", i)
			}
		})
	}
}

// TestUsualLoadIsServed guards against callers below the allowance whose requests find no server while a whole zone is cold.
func TestUsualLoadIsServed(t *testing.T) {
	g := gomega.NewWithT(t)
	for entries := 1; entries <= 15; entries++ {
		limiter := newLimiter("a-0", "a")
		now := settle(limiter, begin, ownZone(entries))
		var servers []*cold.Server
		for i := range 12 {
			servers = append(servers, coldServer(limiter, now, fmt.Sprint("server ", i), "a"))
		}
		refused := 0
		for range 14 * 20 {
			now += time.Second / 14
			limiter.SetView(now, ownZone(entries))
			allowed := slices.IndexFunc(servers, func(server *cold.Server) bool { return limiter.Allows(now, server) })
			if allowed < 0 {
				refused++
				continue
			}
			limiter.Reserve(now, servers[allowed])
			limiter.Send(now, servers[allowed])
			limiter.End(now, servers[allowed], now)
		}
		g.Expect(refused).To(gomega.BeZero(), "%d entries", entries)
	}
}

// TestShares guards against shares that add up to more than the allowance, and against zones in which no entry has one.
func TestShares(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, count := range []int{1, 2, 5, 10, 11, 15, 20, 40, 148} {
		total := 0
		for i := range count {
			limiter := newLimiter(fmt.Sprintf("a-%d", i), "a")
			now := settle(limiter, begin, ownZone(count))
			total += burst(limiter, now, coldServer(limiter, now, "x", "a"))
		}
		g.Expect(total).To(gomega.BeNumerically(">", 16), "%d entries", count)
		g.Expect(total).To(gomega.BeNumerically("<=", 33), "%d entries", count)
	}
}

// TestTakeover guards against cold servers without any entry that serves them once all entries of their zone are gone, and against two zones that take them over.
func TestTakeover(t *testing.T) {
	g := gomega.NewWithT(t)
	zones := []string{"a", "b", "c"}
	total := func(server string, live ...string) map[string]int {
		sums := map[string]int{}
		for _, zone := range zones {
			for _, self := range addresses(zone, 11) {
				view := cold.View{InContact: true, HasRegistry: true}
				for _, name := range zones {
					view.Zones = append(view.Zones, cold.Zone{Name: name, Entries: addresses(name, 11), Live: slices.Contains(live, name)})
				}
				limiter := newLimiter(self, zone)
				now := settle(limiter, begin, view)
				if sent := burst(limiter, now, coldServer(limiter, now, "x", server)); sent > 0 {
					sums[zone] += sent
				}
			}
		}
		return sums
	}
	// The entries of a zone that is not live in this view have no say in who takes over.
	g.Expect(total("a", "a", "b", "c")).To(gomega.Equal(map[string]int{"a": 33}))
	g.Expect(total("a", "b", "c")).To(gomega.Equal(map[string]int{"a": 33, "b": 5}))
	g.Expect(total("c", "a", "b")).To(gomega.Equal(map[string]int{"c": 33, "a": 5}))
	g.Expect(total("a", "c")).To(gomega.Equal(map[string]int{"a": 33, "b": 5, "c": 2}))
	// A zone in which there never was an entry belongs to the next one.
	g.Expect(total("ab", "a", "b", "c")).To(gomega.Equal(map[string]int{"b": 5}))
}

// TestUnannouncedColdServer guards against a server that is cold without saying so and gets full load right after it has registered.
func TestUnannouncedColdServer(t *testing.T) {
	g := gomega.NewWithT(t)
	limiter := newLimiter("a-0", "a")
	limiter.ServersKnown(begin)
	now := settle(limiter, begin, ownZone(11))
	server := limiter.Add(now, "x", "s", "a", cold.Registration{Sequence: 1, Age: 0})
	g.Expect(burst(limiter, now, server)).To(gomega.Equal(3))
	now = advance(limiter, now, now+2500*time.Millisecond, ownZone(11))
	g.Expect(burst(limiter, now, server)).To(gomega.Equal(3), "2.5 s later")
	now = advance(limiter, now, now+1500*time.Millisecond, ownZone(11))
	g.Expect(burst(limiter, now, server)).To(gomega.Equal(1000), "after the cold time and the slow start")

	// A later registration says that the server is not cold.
	server = limiter.Add(now, "y", "s", "a", cold.Registration{Sequence: 1, Age: 0})
	limiter.Update(now, server, cold.Registration{Sequence: 1})
	now = advance(limiter, now, now+1500*time.Millisecond, ownZone(11))
	g.Expect(burst(limiter, now, server)).To(gomega.Equal(3), "the same registration again")
	limiter.Update(now, server, cold.Registration{Sequence: 2})
	now = advance(limiter, now, now+1200*time.Millisecond, ownZone(11))
	g.Expect(burst(limiter, now, server)).To(gomega.Equal(1000), "a later registration")
}

// TestStartOfEntry guards against an entry that takes all servers for cold when it starts, and against one that takes none for cold.
func TestStartOfEntry(t *testing.T) {
	g := gomega.NewWithT(t)
	limiter := newLimiter("a-0", "a")
	limiter.ServersKnown(begin - time.Second)
	for name, registration := range map[string]cold.Registration{
		"started long ago":       {Sequence: 1, Age: time.Hour},
		"a later registration":   {Sequence: 4, Age: -1},
		"just started, later on": {Sequence: 2, Age: time.Second},
	} {
		g.Expect(limiter.Add(begin, name, "s", "a", registration).IsLimited()).To(gomega.BeFalse(), name)
	}
	g.Expect(limiter.Add(begin, "x", "s", "a", cold.Registration{Sequence: 1, Age: time.Second}).IsLimited()).To(gomega.BeTrue())
	g.Expect(limiter.Add(begin, "y", "s", "a", cold.Registration{Sequence: 7, Age: time.Hour, ColdFor: time.Second}).IsLimited()).To(gomega.BeTrue())
	g.Expect(limiter.Add(begin+5*time.Second, "later", "s", "a", cold.Registration{Sequence: 4, Age: -1}).IsLimited()).To(gomega.BeTrue())
	g.Expect(limiter.Add(begin, "z", "other", "a", cold.Registration{Sequence: 1})).To(gomega.BeNil(), "no cold rate")
}

// TestSignsOfColdness guards against a server that is found cold at any later time and still gets full load, and against an older registration that ends this.
func TestSignsOfColdness(t *testing.T) {
	for _, sign := range []string{"registration", "response", "zone returned"} {
		t.Run(sign, func(t *testing.T) {
			g := gomega.NewWithT(t)
			limiter := newLimiter("a-0", "a")
			now := settle(limiter, begin, ownZone(11))
			server := limiter.Add(now, "x", "s", "a", cold.Registration{Sequence: 5, Age: time.Hour})
			g.Expect(server.IsLimited()).To(gomega.BeFalse())
			// What was sent before counts.
			limiter.Reserve(now, server)
			limiter.Send(now, server)
			limiter.End(now, server, now)
			switch sign {
			case "registration":
				limiter.Update(now, server, cold.Registration{Sequence: 6, ColdFor: 3 * time.Second})
			case "response":
				limiter.MarkCold(now, server, 3*time.Second)
			case "zone returned":
				limiter.MarkZoneReturned(now, server)
			}
			g.Expect(limiter.TakeEvents()).To(gomega.HaveLen(1))
			g.Expect(burst(limiter, now, server)).To(gomega.Equal(2))
			if sign != "registration" {
				limiter.Update(now+500*time.Millisecond, server, cold.Registration{Sequence: 6})
			}
			now = advance(limiter, now, now+2*time.Second, ownZone(11))
			g.Expect(burst(limiter, now, server)).To(gomega.Equal(3), "a registration of the time before")
			limiter.Update(now, server, cold.Registration{Sequence: 7})
			now = advance(limiter, now, now+1200*time.Millisecond, ownZone(11))
			g.Expect(burst(limiter, now, server)).To(gomega.Equal(1000))
		})
	}
}

// TestSlowStart guards against a server that all entries fill at once when its cold period ends.
func TestSlowStart(t *testing.T) {
	g := gomega.NewWithT(t)
	limiter := newLimiter("a-0", "a")
	now := settle(limiter, begin, ownZone(11))
	server := limiter.Add(now, "x", "s", "a", cold.Registration{Sequence: 5, ColdFor: time.Second})
	var sent []int
	for at := now; at < now+2200*time.Millisecond; at += 250 * time.Millisecond {
		limiter.SetView(at, ownZone(11))
		sent = append(sent, burst(limiter, at, server))
	}
	g.Expect(sent[:5]).To(gomega.Equal([]int{3, 0, 0, 0, 0}), "cold, and the first step after it")
	g.Expect(sent[5:8]).To(gomega.Equal([]int{6, 6, 12}), "6, 12 and 24 within a window")
	g.Expect(sent[8]).To(gomega.Equal(1000))
}

// TestNoContact guards against an entry that is cut off, stopped or new and sends to cold servers, whatever the others do meanwhile.
func TestNoContact(t *testing.T) {
	g := gomega.NewWithT(t)
	limiter := newLimiter("a-0", "a")
	server := coldServer(limiter, begin, "x", "a")
	g.Expect(burst(limiter, begin, server)).To(gomega.BeZero(), "no view yet")
	limiter.SetView(begin, ownZone(1))
	g.Expect(burst(limiter, begin, server)).To(gomega.BeZero(), "just started")
	now := settle(limiter, begin, ownZone(11))
	g.Expect(burst(limiter, now, server)).To(gomega.Equal(3))

	alone := cold.View{Zones: []cold.Zone{{Name: "a", Entries: []string{"a-0"}, Live: true}}}
	now = advance(limiter, now, now+2*time.Second, alone)
	g.Expect(burst(limiter, now, server)).To(gomega.Equal(3), "cut off for 2 s, with the earlier view")
	now = advance(limiter, now, now+1500*time.Millisecond, alone)
	g.Expect(burst(limiter, now, server)).To(gomega.BeZero(), "cut off for 3.5 s")

	now = settle(limiter, now, ownZone(11))
	limiter.Reserve(now, server)
	now += 2 * time.Second
	g.Expect(limiter.Send(now, server)).To(gomega.BeFalse(), "selected before a suspension")
	g.Expect(burst(limiter, now, server)).To(gomega.BeZero(), "resumed")
	limiter.SetView(now, ownZone(11))
	g.Expect(burst(limiter, now, server)).To(gomega.BeZero(), "resumed, with a view")
}

// TestHeldUpRequests guards against requests that are held up on their way to a server and arrive together with later ones.
func TestHeldUpRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	limiter := newLimiter("a-0", "a")
	now := settle(limiter, begin, ownZone(11))
	server := coldServer(limiter, now, "x", "a")
	sentAt := now
	for range 3 {
		limiter.Reserve(now, server)
		g.Expect(limiter.Send(now, server)).To(gomega.BeTrue())
	}
	for range 30 {
		now += 100 * time.Millisecond
		limiter.SetView(now, ownZone(11))
		g.Expect(burst(limiter, now, server)).To(gomega.BeZero(), "none has begun")
	}
	limiter.End(now, server, sentAt)
	g.Expect(burst(limiter, now, server)).To(gomega.BeZero(), "one has just arrived")
	now = advance(limiter, now, now+1100*time.Millisecond, ownZone(11))
	g.Expect(burst(limiter, now, server)).To(gomega.Equal(1))
}

// TestAllowance guards against settings that are missing or malformed and stop the service or lift the limit.
func TestAllowance(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(bound.Allowance(26)).To(gomega.Equal(allowance))
	g.Expect(cold.Bound{}.Allowance(26)).To(gomega.Equal(26))
	g.Expect(cold.Bound{Excess: -1, Slack: -7}.Allowance(26.9)).To(gomega.Equal(26))
	g.Expect(cold.Bound{Excess: math.NaN(), Slack: math.Inf(1)}.Allowance(26)).To(gomega.BeNumerically(">", 26))
	g.Expect(cold.Bound{Excess: 1e300, Slack: 1e300}.Allowance(1e300)).To(gomega.Equal(1_000_000))
	g.Expect(cold.Bound{Excess: 1}.Allowance(0.5)).To(gomega.BeZero())
	g.Expect(cold.Service{Rate: -1}.IsLimited()).To(gomega.BeFalse())
}

// TestWindowOfEntry guards against more writes within a second than the share, for any order of selections, delays and answers.
func TestWindowOfEntry(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limiter := newLimiter("a-0", "a")
		count := rapid.IntRange(1, 40).Draw(t, "entries")
		now := settle(limiter, begin, ownZone(count))
		server := coldServer(limiter, now, "x", "a")
		share := max(33/count, 1)
		var written, pending []time.Duration
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 120).Draw(t, "pause")) * time.Millisecond
			limiter.SetView(now, ownZone(count))
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0, 1:
				if limiter.Allows(now, server) {
					limiter.Reserve(now, server)
				}
			case 2:
				if limiter.Send(now, server) {
					written, pending = append(written, now), append(pending, now)
				}
			case 3:
				if len(pending) > 0 {
					i := rapid.IntRange(0, len(pending)-1).Draw(t, "answered")
					limiter.End(now, server, pending[i])
					pending = slices.Delete(pending, i, i+1)
				}
			}
		}
		if largest := largestSecond(written); largest > share {
			t.Fatalf("%d writes in a second, share %d", largest, share)
		}
	})
}
