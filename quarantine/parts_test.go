package quarantine_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/quarantine"
)

// partsFleet is a number of entries that exchange what they know of parts. All of them see the
// same clock.
type partsFleet struct {
	now     time.Time
	entries []*quarantine.Parts
	crashes int
	// requests counts the requests, which makes the last part of each unique.
	requests int
}

func newPartsFleet(entries int) *partsFleet {
	f := &partsFleet{now: start}
	for range entries {
		f.entries = append(f.entries, quarantine.NewParts())
	}
	return f
}

// prompt returns a prompt of these parts and one of its own.
func (f *partsFleet) prompt(parts ...string) []string {
	f.requests++
	return append(slices.Clone(parts), fmt.Sprint("own-", f.requests))
}

// crash records a crash of a server with requests of several entries in progress.
func (f *partsFleet) crash(byEntry map[int][][]string) {
	f.crashes++
	for entry, prompts := range byEntry {
		for _, prompt := range prompts {
			f.entries[entry].RecordCrash(f.now, fmt.Sprintf("server-%d/1", f.crashes), prompt)
		}
	}
}

// exchange makes each entry receive the reports of all others.
func (f *partsFleet) exchange() {
	for _, from := range f.entries {
		report := from.Report(f.now)
		for _, to := range f.entries {
			if to != from {
				to.Merge(f.now, report)
			}
		}
	}
}

// refusing returns the number of entries that refuse a prompt.
func (f *partsFleet) refusing(prompt []string) int {
	count := 0
	for _, entry := range f.entries {
		if entry.Refused(f.now, prompt) != "" {
			count++
		}
	}
	return count
}

// Guards against two faults, with random companions of the deadly requests: a deadly part that
// is not refused at every entry after five incidents, and sound parts that are refused, among
// them the one that begins every deadly prompt.
func TestDeadlyPartAmongSoundOnes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newPartsFleet(rapid.IntRange(1, 6).Draw(t, "entries"))
		sharedParts := rapid.IntRange(20, 200).Draw(t, "shared parts")
		drawPart := rapid.IntRange(0, sharedParts-1)
		drawEntry := rapid.IntRange(0, len(f.entries)-1)
		sound := func(label string) []string { return f.prompt(fmt.Sprint("part-", drawPart.Draw(t, label))) }
		answerSound := func(answers int) {
			for range answers {
				f.entries[drawEntry.Draw(t, "answering entry")].RecordSound(f.now, sound("answered part"))
			}
		}
		answerSound(40)
		for range 8 {
			f.now = f.now.Add(time.Duration(rapid.IntRange(150, 2000).Draw(t, "ms between crashes")) * time.Millisecond)
			inProgress := map[int][][]string{}
			for range rapid.IntRange(0, 6).Draw(t, "companions") {
				entry := drawEntry.Draw(t, "entry of a companion")
				inProgress[entry] = append(inProgress[entry], sound("companion"))
			}
			entry := drawEntry.Draw(t, "entry")
			inProgress[entry] = append(inProgress[entry], f.prompt("part-0", "deadly"))
			f.crash(inProgress)
			answerSound(10)
			// Every entry serves sound requests.
			for _, entry := range f.entries {
				for range 5 {
					entry.RecordSound(f.now, f.prompt("busy"))
				}
			}
			f.exchange()
		}
		if got := f.refusing(f.prompt("part-0", "deadly")); got != len(f.entries) {
			t.Fatalf("%d of %d entries refuse the deadly part", got, len(f.entries))
		}
		for part := range sharedParts {
			if f.refusing(f.prompt(fmt.Sprint("part-", part))) != 0 {
				t.Fatalf("part-%d is refused", part)
			}
		}
		if f.refusing([]string{"deadly"}) != 0 {
			t.Fatal("the last part of a prompt is suspected")
		}
	})
}

// Guards against refusing requests after servers failed for reasons of their own: all at once,
// or one after the other with the same part in each prompt.
func TestServersThatFailByThemselves(t *testing.T) {
	f := newPartsFleet(1)
	for range 20 {
		f.crash(map[int][][]string{0: {f.prompt("system"), f.prompt("other")}})
		f.now = f.now.Add(2 * time.Millisecond)
	}
	for range 10 {
		f.entries[0].RecordSound(f.now, f.prompt("third"))
	}
	if f.refusing(f.prompt("system")) != 0 || f.refusing(f.prompt("other")) != 0 {
		t.Fatal("refused after a common failure of all servers")
	}
	f = newPartsFleet(1)
	for range 10 {
		f.crash(map[int][][]string{0: {f.prompt("system")}})
		f.now = f.now.Add(time.Second)
	}
	if f.refusing(f.prompt("system")) != 0 {
		t.Fatal("a part is refused although no request without it was served")
	}
}

// Guards against refusing a sound part for as long as a deadly one: another entry has seen it to
// be sound.
func TestClearedByAnotherEntry(t *testing.T) {
	f := newPartsFleet(2)
	for range 3 {
		f.crash(map[int][][]string{0: {f.prompt("rare")}})
		f.now = f.now.Add(time.Second)
	}
	for range 5 {
		f.entries[0].RecordSound(f.now, f.prompt("busy"))
	}
	if f.refusing(f.prompt("rare")) != 1 {
		t.Fatal("the part is not refused")
	}
	f.entries[1].RecordSound(f.now, f.prompt("rare"))
	f.exchange()
	f.exchange()
	if f.refusing(f.prompt("rare")) != 0 {
		t.Fatal("the part is still refused")
	}
}

// Guards against a deadly part that is never found since it was sound before, and against one
// that is refused for ever, also by an entry that started later.
func TestPartTurnsDeadly(t *testing.T) {
	f := newPartsFleet(1)
	f.entries[0].RecordSound(f.now, f.prompt("turned"))
	f.now = f.now.Add(11 * time.Second)
	crash := func() {
		f.crash(map[int][][]string{0: {f.prompt("turned")}})
		for range 5 {
			f.entries[0].RecordSound(f.now, f.prompt("busy"))
		}
		f.now = f.now.Add(time.Second)
	}
	for range 3 {
		crash()
	}
	if f.refusing(f.prompt("turned")) != 1 {
		t.Fatal("the part is not refused")
	}
	f.now = f.now.Add(time.Minute)
	f.entries = append(f.entries, quarantine.NewParts())
	f.exchange()
	for range 5 {
		f.entries[1].RecordSound(f.now, f.prompt("busy"))
	}
	if f.refusing(f.prompt("turned")) != 2 {
		t.Fatal("an entry that started later does not refuse the part")
	}
	f.now = f.now.Add(time.Hour)
	if f.refusing(f.prompt("turned")) != 0 {
		t.Fatal("the part is refused for ever")
	}
}

// Guards against reports that grow with the number of crashes or of requests in progress.
func TestPartReportIsBounded(t *testing.T) {
	f := newPartsFleet(1)
	for range 100 {
		var prompts [][]string
		for range 500 {
			prompts = append(prompts, f.prompt(fmt.Sprint("part-", f.requests)))
		}
		f.crash(map[int][][]string{0: prompts})
		f.now = f.now.Add(10 * time.Millisecond)
	}
	report := f.entries[0].Report(f.now)
	if len(report.Crashes) > 12 {
		t.Fatalf("%d crashes are reported", len(report.Crashes))
	}
	for _, crash := range report.Crashes {
		if len(crash.Positions) > 24 {
			t.Fatalf("%d parts of a crash are reported", len(crash.Positions))
		}
	}
	if report = f.entries[0].Report(f.now.Add(3 * time.Second)); !report.IsEmpty() {
		t.Fatalf("%d crashes are reported again", len(report.Crashes))
	}
}

// Guards against an entry that was restarted and sends requests with a refused part to servers
// until it has seen sound answers of its own.
func TestRestartedEntryRefusesAtOnce(t *testing.T) {
	f := newPartsFleet(2)
	for range 3 {
		f.crash(map[int][][]string{0: {f.prompt("first", "deadly")}})
		f.now = f.now.Add(time.Second)
	}
	for range 5 {
		f.entries[0].RecordSound(f.now, f.prompt("first"))
	}
	f.exchange()
	if got := f.refusing(f.prompt("deadly")); got != 2 {
		t.Fatalf("%d of 2 entries refuse the part", got)
	}
	for range 3 {
		f.now = f.now.Add(time.Minute)
		f.entries[1] = quarantine.NewParts()
		f.exchange()
		if f.refusing(f.prompt("deadly")) != 2 {
			t.Fatal("the restarted entry does not refuse the part")
		}
		if f.refusing(f.prompt("first")) != 0 {
			t.Fatal("a sound part is refused")
		}
		f.entries[0], f.entries[1] = f.entries[1], f.entries[0]
	}
}

// TestDelayedReportsOfOneIncident guards against crashes of one incident that a frozen entry dates apart and takes for several.
func TestDelayedReportsOfOneIncident(t *testing.T) {
	const interval = 200 * time.Millisecond
	f := newPartsFleet(2)
	var delayed []fuchsiarouter.PartReport
	for i := range 3 {
		f.entries[0].Merge(f.now, fuchsiarouter.PartReport{Crashes: []fuchsiarouter.PartCrash{{
			CrashID: fmt.Sprint("server/", i), AgeMilliseconds: (time.Duration(i) * interval).Milliseconds(), Positions: map[string]int{"shared": 0},
		}}})
		delayed = append(delayed, f.entries[0].Report(f.now))
		f.now = f.now.Add(interval)
	}
	for _, report := range delayed {
		f.entries[1].Merge(f.now, report)
	}
	for range 5 {
		f.entries[1].RecordSound(f.now, f.prompt("other"))
	}
	if refused := f.entries[1].Refused(f.now, f.prompt("shared")); refused != "" {
		t.Fatalf("part %q is refused after one incident", refused)
	}
}
