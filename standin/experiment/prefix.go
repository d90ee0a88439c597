package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"github.com/fuchsiarouter/fuchsiarouter/standin/bench"
)

// Parameters of the prefix experiment.
const (
	// prefixCount is the number of distinct prompt prefixes. All of them fit into
	// the caches of the four engines together, and a quarter of them into the
	// cache of one engine.
	prefixCount = 16
	// prefixBytes is the minimum size of a prefix.
	prefixBytes = 8 << 10
	// prefixRate is in requests a second.
	prefixRate     = 80
	prefixDuration = 10 * time.Second
)

// Prefix measures with the real daemons which part of the prompt tokens is found
// in the prefix caches of the engines, and the time to the first token. The entry
// recognizes the prefix of a prompt and prefers a server that is likely to have
// the prefix in its cache. The baseline puts a short message before the same
// prompts, so that the entry recognizes no prefix and chooses the server by
// fingerprint, a digest of the content of the request.
func Prefix(seed uint64, report func(Figure)) error {
	dir, err := os.MkdirTemp("", "experiment-prefix-")
	if err != nil {
		return errors.Wrap(err, "create log directory")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	for _, variant := range []struct {
		name       string
		hidePrefix bool
	}{{"prefix-baseline-by-fingerprint", true}, {"prefix", false}} {
		// Each variant starts with empty caches.
		if err := runPrefix(seed, dir, variant.name, variant.hidePrefix, report); err != nil {
			return err
		}
	}
	return nil
}

// runPrefix measures one variant on a fleet of its own and reports its figures
// under the name. With hidePrefix set, the prompts begin with the short message of
// the baseline.
func runPrefix(seed uint64, dir, name string, hidePrefix bool, report func(Figure)) error {
	b, err := bench.New(binaryDir, dir)
	if err != nil {
		return err
	}
	defer b.Close()
	// A cache block holds 64 bytes. The cache of an engine has room for its part of
	// the prefixes and 8 more blocks for each.
	blocks := fmt.Sprint(prefixCount / entryEngines * (prefixBytes/64 + 8))
	fleet, err := startEntryFleet(context.Background(), b, entryEngines,
		"--slots", "8", "--token-time", "1ms", "--prefill-time", "20ms", "--cache-blocks", blocks)
	if err != nil {
		return err
	}
	random := rand.New(rand.NewPCG(seed, 1))
	var mu sync.Mutex
	var requests sync.WaitGroup
	// A request is for one token, so this is the time to its answer.
	var firstTokenSeconds []float64
	totalCached, totalTokens, failed := 0, 0, 0
	interval := time.Second / prefixRate
	startedAt := time.Now()
	for i := range int(prefixDuration / interval) {
		body := promptBody(random.IntN(prefixCount), i, hidePrefix)
		time.Sleep(time.Until(startedAt.Add(time.Duration(i) * interval)))
		requests.Go(func() {
			start := time.Now()
			cachedTokens, promptTokens, ok := sendPrompt(fleet.entry.Address, body)
			mu.Lock()
			defer mu.Unlock()
			if !ok {
				failed++
				return
			}
			firstTokenSeconds = append(firstTokenSeconds, time.Since(start).Seconds())
			totalCached, totalTokens = totalCached+cachedTokens, totalTokens+promptTokens
		})
	}
	requests.Wait()
	if len(firstTokenSeconds) == 0 {
		return errors.New("none of the requests was answered")
	}
	slices.Sort(firstTokenSeconds)
	report(AtMost(name+"-failed", float64(failed), "requests", 0))
	report(Unbounded(name+"-cached", float64(totalCached)/float64(totalTokens), "part of the prompts"))
	report(Unbounded(name+"-first-token-median", firstTokenSeconds[len(firstTokenSeconds)/2], "s"))
	report(Unbounded(name+"-first-token-p95", firstTokenSeconds[len(firstTokenSeconds)*95/100], "s"))
	return nil
}

// promptBody returns the body of a request for one token. Its prompt has the
// prefix with the given number and then a question that only this request has.
func promptBody(prefix, questionNumber int, hidePrefix bool) string {
	type message struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
	line := fmt.Sprintf("Instruction of set %d. ", prefix)
	messages := []message{
		{"system", strings.Repeat(line, prefixBytes/len(line)+1)},
		{"user", fmt.Sprintf("question %d", questionNumber)},
	}
	if hidePrefix {
		messages = slices.Insert(messages, 0, message{"system", "."})
	}
	body, err := json.Marshal(struct {
		Model     string    `json:"model"`
		MaxTokens int       `json:"max_tokens"`
		Messages  []message `json:"messages"`
	}{"rounds", 1, messages})
	if err != nil {
		panic(err)
	}
	return string(body)
}

// sendPrompt sends a request with the body to the entry at the address, and returns
// the number of tokens of its prompt that were in the engine's cache and that of
// all tokens of the prompt. It returns false if the request was not answered.
func sendPrompt(address, body string) (cached, total int, ok bool) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + address + "/v1/chat/completions")
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.Set(fasthttp.HeaderAuthorization, "Bearer mopa")
	request.SetBodyString(body)
	client := fasthttp.Client{MaxIdemponentCallAttempts: 1}
	if client.Do(request, response) != nil || response.StatusCode() != fasthttp.StatusOK {
		return 0, 0, false
	}
	var answer struct {
		Usage struct {
			PromptTokens        int `json:"prompt_tokens"`
			PromptTokensDetails struct {
				CachedTokens int `json:"cached_tokens"`
			} `json:"prompt_tokens_details"`
		} `json:"usage"`
	}
	if json.Unmarshal(response.Body(), &answer) != nil {
		return 0, 0, false
	}
	return answer.Usage.PromptTokensDetails.CachedTokens, answer.Usage.PromptTokens, true
}
