package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// defaultTokens is the length of an answer when the request names none.
const defaultTokens = 16

// lowestPriority is the priority of a request that names none.
const lowestPriority = 9

// Request is the part of a chat-completions request that the engine reads.
type Request struct {
	Model     string    `json:"model"`
	Stream    bool      `json:"stream"`
	MaxTokens int       `json:"max_tokens"`
	Messages  []Message `json:"messages"`
}

// Prompt returns the text that the answer depends on.
func (r Request) Prompt() string {
	var prompt strings.Builder
	for _, message := range r.Messages {
		prompt.WriteString(message.Role + ": " + message.Content + "\n")
	}
	return prompt.String()
}

// Tokens returns the length of the answer.
func (r Request) Tokens() int {
	if r.MaxTokens > 0 {
		return r.MaxTokens
	}
	return defaultTokens
}

// Completion is one event of a stream or, with Message, a whole answer.
type Completion struct {
	ID                string   `json:"id"`
	Object            string   `json:"object"`
	Model             string   `json:"model"`
	SystemFingerprint string   `json:"system_fingerprint"`
	Choices           []Choice `json:"choices"`
	Usage             *Usage   `json:"usage,omitempty"`
}

// Choice is the only choice of a completion.
type Choice struct {
	Index        int      `json:"index"`
	Delta        *Message `json:"delta,omitempty"`
	Message      *Message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Message is text of the model.
type Message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// Usage counts the tokens of an answer.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
	// PromptTokensDetails tells which part of the prompt was in the prefix cache.
	PromptTokensDetails PromptTokensDetails `json:"prompt_tokens_details"`
}

// PromptTokensDetails splits the tokens of a prompt.
type PromptTokensDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// generation is a request that holds a slot.
type generation struct {
	request Request
	id      string
	digest  string
	offset  int
	// unloaded and changed are closed when the request is to be cut.
	unloaded, changed <-chan struct{}
	// cached is the part of the prompt that was in the prefix cache, in bytes.
	cached int
	// run is the number of the run.
	run int64
}

func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	g := generation{id: r.Header.Get("Request-Id")}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, orderLimit)).Decode(&g.request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	g.offset, _ = strconv.Atoi(r.Header.Get("Resume-Offset"))
	priority, err := strconv.Atoi(r.Header.Get("Priority"))
	if err != nil {
		priority = lowestPriority
	}
	err = e.queue.Acquire(r.Context(), priority)
	e.noteLoad()
	if err != nil {
		return
	}
	defer func() {
		e.queue.Release()
		e.noteLoad()
	}()
	var ok bool
	if g.digest, g.unloaded, g.changed, ok = e.models.Ready(g.request.Model); !ok {
		http.Error(w, "version is not ready", http.StatusNotFound)
		return
	}
	g.run, err = e.runs.Start(Run{RequestID: g.id, Digest: g.digest, Offset: g.offset})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	prompt := g.request.Prompt()
	if marker := e.options.CrashMarker; marker != "" && strings.Contains(prompt, marker) {
		e.options.Crash()
	}
	state := RunCancelled
	defer func() { _ = e.runs.End(g.run, state) }()
	g.cached = e.cache.Use(time.Now(), g.digest, prompt)
	prefill := e.options.PrefillTime * time.Duration(len(prompt)-g.cached) / 1024
	if state = g.wait(r.Context(), prefill); state != RunDone {
		panic(http.ErrAbortHandler)
	}
	if g.request.Stream {
		state = e.stream(r.Context(), w, g, prompt)
	} else {
		state = e.whole(r.Context(), w, g, prompt)
	}
	if state != RunDone {
		panic(http.ErrAbortHandler)
	}
}

func (e *Engine) stream(ctx context.Context, w http.ResponseWriter, g generation, prompt string) string {
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	send := func(choice Choice, usage *Usage) bool {
		event, err := json.Marshal(g.completion("chat.completion.chunk", choice, usage))
		if err != nil {
			return false
		}
		if _, err := fmt.Fprintf(w, "data: %s\n\n", event); err != nil {
			return false
		}
		return controller.Flush() == nil
	}
	for index := g.offset; index < g.request.Tokens(); index++ {
		if state := g.wait(ctx, e.options.TokenTime); state != RunDone {
			return state
		}
		if !send(Choice{Delta: &Message{Content: Token(g.digest, prompt, index)}}, nil) {
			return RunCancelled
		}
		e.runs.Progress(g.run)
	}
	stop := "stop"
	if !send(Choice{Delta: &Message{}, FinishReason: &stop}, g.usage(prompt)) {
		return RunCancelled
	}
	if _, err := fmt.Fprint(w, "data: [DONE]\n\n"); err != nil {
		return RunCancelled
	}
	return RunDone
}

func (e *Engine) whole(ctx context.Context, w http.ResponseWriter, g generation, prompt string) string {
	tokens := max(0, g.request.Tokens()-g.offset)
	if state := g.wait(ctx, e.options.TokenTime*time.Duration(tokens)); state != RunDone {
		return state
	}
	stop := "stop"
	text := Text(g.digest, prompt, g.offset, g.request.Tokens())
	writeJSON(w, g.completion("chat.completion", Choice{
		Message:      &Message{Role: "assistant", Content: text},
		FinishReason: &stop,
	}, g.usage(prompt)))
	return RunDone
}

// wait spends the time and returns RunDone, or how the run ended before.
func (g generation) wait(ctx context.Context, duration time.Duration) string {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return RunDone
	case <-ctx.Done():
		return RunCancelled
	case <-g.unloaded:
		return RunCut
	case <-g.changed:
		return RunCut
	}
}

func (g generation) completion(object string, choice Choice, usage *Usage) Completion {
	return Completion{
		ID:                g.id,
		Object:            object,
		Model:             g.request.Model,
		SystemFingerprint: g.digest,
		Choices:           []Choice{choice},
		Usage:             usage,
	}
}

func (g generation) usage(prompt string) *Usage {
	const bytesPerToken = 4
	in, out := len(prompt)/bytesPerToken, g.request.Tokens()
	return &Usage{
		PromptTokens: in, CompletionTokens: out, TotalTokens: in + out,
		PromptTokensDetails: PromptTokensDetails{CachedTokens: g.cached / bytesPerToken},
	}
}
