package serving

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/fuchsiarouter/fuchsiarouter/document"
)

// RequestStream describes requests of one workspace and rank with Poisson arrivals.
type RequestStream struct {
	// Name is the prefix of the request IDs.
	Name      string
	Workspace string
	// Weight is the Request.Weight of the requests.
	Weight float64
	Rank   document.RankName
	// PerSecond is the mean arrival rate in requests per second.
	PerSecond float64
	// From and Until bound the arrivals, counted from the start of the simulation.
	From  time.Duration
	Until time.Duration
	// Prompt and Output are the medians of the lengths in tokens.
	Prompt int
	Output int
	// Patience is the Request.Patience of the requests; 0 means no deadline.
	Patience time.Duration
	// Prefixes is the number of distinct prompt prefixes, whose frequencies have a Zipf
	// distribution; 0 means that requests have no prefix.
	Prefixes int
	// Entries is the number of entries that the callers use, the first ones of the fleet; 0
	// means all.
	Entries int
}

// lengthSigma is the standard deviation of the natural logarithm of the prompt and output
// lengths, which have a log-normal distribution.
const lengthSigma = 0.5

// estimateSigma is the standard deviation of the natural logarithm of the ratio of the
// announced output length to the actual one.
const estimateSigma = 0.3

// Parameters of the 64-bit FNV-1a hash.
const (
	fnvOffsetBasis = 14695981039346656037
	fnvPrime       = 1099511628211
)

// Generate returns the requests of the stream for a fleet with the given number of entries.
// They depend only on the arguments and the stream's own fields, not on the other streams
// of the simulation, so the random numbers are seeded with the seed and a hash of the name.
func (s RequestStream) Generate(seed uint64, entries int) []*Request {
	hash := uint64(fnvOffsetBasis)
	for _, char := range []byte(s.Name) {
		hash = (hash ^ uint64(char)) * fnvPrime
	}
	random := rand.New(rand.NewPCG(seed, hash))
	if s.Entries > 0 {
		entries = min(entries, s.Entries)
	}
	var requests []*Request
	for at := s.From.Seconds(); ; {
		at += random.ExpFloat64() / s.PerSecond
		if at >= s.Until.Seconds() {
			return requests
		}
		id := fmt.Sprintf("%s-%d", s.Name, len(requests))
		output := randomLength(random, s.Output)
		r := &Request{
			ID: id, Workspace: s.Workspace, Weight: s.Weight, Rank: s.Rank, Fingerprint: fmt.Sprintf("%s/%d", id, seed),
			Prompt: randomLength(random, s.Prompt), Output: output, Patience: s.Patience,
			EstimatedOutput: max(int(float64(output)*math.Exp(estimateSigma*random.NormFloat64())), 1),
			Arrival:         StartTime().Add(time.Duration(at * float64(time.Second))), Entry: random.IntN(entries),
		}
		if s.Prefixes > 0 {
			// Approximates the inverse distribution function of a Zipf distribution with
			// exponent 1.
			index := int(math.Pow(float64(s.Prefixes), random.Float64())) - 1
			r.Prefix = fmt.Sprintf("%s/prefix-%d", s.Name, index)
		}
		requests = append(requests, r)
	}
}

// randomLength draws a length in tokens from a log-normal distribution.
func randomLength(random *rand.Rand, median int) int {
	return max(int(float64(median)*math.Exp(lengthSigma*random.NormFloat64())), 1)
}

// MeanWork returns the mean work of a request of the stream, in the unit of Request.Work.
func (s RequestStream) MeanWork(times TokenTimes) float64 {
	mean := math.Exp(lengthSigma * lengthSigma / 2)
	return mean * (float64(s.Prompt)*times.Prefill.Seconds()/times.Decode.Seconds() + float64(s.Output))
}

// Capacity returns the work that the fleet completes in a second with all slots in use, in
// the unit of Request.Work. TokenTimes must be set, since NewFleet applies its default only
// to the settings of the fleet.
func (s Settings) Capacity() float64 {
	full := s.TokenTimes.Decode + time.Duration(s.Slots-1)*s.TokenTimes.DecodePerConcurrentRequest
	return float64(s.Servers*s.Slots) / full.Seconds()
}

// Percentile returns the value below which the given fraction, from 0 to 1, of the values
// lies. It returns one of the values, without interpolation, or NaN if there are none.
func Percentile(values []float64, fraction float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	sorted := slices.Clone(values)
	sort.Float64s(sorted)
	return sorted[min(int(fraction*float64(len(sorted))), len(sorted)-1)]
}

// TimesToFirstToken returns the time to the first token of each request in seconds. The
// time is infinite for a request without a token, so that refusing requests does not
// improve percentiles of the times.
func TimesToFirstToken(requests []*Request) []float64 {
	var values []float64
	for _, r := range requests {
		if r.FirstToken.IsZero() {
			values = append(values, math.Inf(1))
		} else {
			values = append(values, r.TimeToFirstToken().Seconds())
		}
	}
	return values
}

// JainIndex returns Jain's fairness index of the values: 1 if all are equal, 1/n if all but
// one of n values are 0, and NaN if all are 0 or there are none.
func JainIndex(values []float64) float64 {
	sum, squares := 0.0, 0.0
	for _, value := range values {
		sum += value
		squares += value * value
	}
	return sum * sum / (float64(len(values)) * squares)
}
