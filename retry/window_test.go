package retry_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fuchsiarouter/fuchsiarouter/retry"
)

// TestWindowKeepsItsBound guards against entries that together resend more than the
// platform allows in some window.
func TestWindowKeepsItsBound(t *testing.T) {
	const share, slack, entries = 0.2, 60.0, 6
	rapid.Check(t, func(t *rapid.T) {
		window, now := retry.NewWindow(share, slack, 10*time.Second), time.Unix(1000, 0)
		var first, again []time.Time
		for range rapid.IntRange(1, 400).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "gap")) * time.Millisecond)
			window.Sent(now)
			first = append(first, now)
			if window.Allow(now, entries) {
				again = append(again, now)
			}
			since := now.Add(-9 * time.Second)
			if float64(after(again, since)) > share*float64(after(first, now.Add(-11*time.Second)))+slack/entries {
				t.Fatalf("%d resends of %d requests", after(again, since), after(first, since))
			}
		}
	})
}

func after(times []time.Time, since time.Time) int {
	count := 0
	for _, at := range times {
		if at.After(since) {
			count++
		}
	}
	return count
}
