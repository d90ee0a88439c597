package dispatch

import (
	"strconv"
	"strings"
	"time"

	"github.com/fuchsiarouter/fuchsiarouter"
)

// FormatLoad formats a load as the value of HeaderLoad: the numbers of running requests,
// slots, queued requests and requests that cannot be preempted, and the expected wait in
// ms, in this order and separated by slashes.
func FormatLoad(load fuchsiarouter.Load) string {
	encoded := make([]byte, 0, 32)
	for _, number := range []int{load.Running, load.Slots, load.Queued, load.NonPreemptible} {
		encoded = append(strconv.AppendInt(encoded, int64(number), 10), '/')
	}
	return string(strconv.AppendInt(encoded, load.ExpectedWait.Milliseconds(), 10))
}

// ParseLoad parses the value of HeaderLoad. It returns false if the value is malformed.
func ParseLoad(encoded string) (fuchsiarouter.Load, bool) {
	var numbers [5]int
	for i := range numbers {
		part, rest, found := strings.Cut(encoded, "/")
		number, err := strconv.Atoi(part)
		if err != nil || found != (i < len(numbers)-1) {
			return fuchsiarouter.Load{}, false
		}
		numbers[i], encoded = number, rest
	}
	return fuchsiarouter.Load{
		Running: numbers[0], Slots: numbers[1], Queued: numbers[2], NonPreemptible: numbers[3],
		ExpectedWait: time.Duration(numbers[4]) * time.Millisecond,
	}, true
}
