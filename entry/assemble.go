package entry

import (
	"encoding/json"
	"io"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"github.com/fuchsiarouter/fuchsiarouter/document"
	"github.com/fuchsiarouter/fuchsiarouter/result"
	"github.com/fuchsiarouter/fuchsiarouter/stream"
)

// isAssembled reports whether a request for a complete response is sent to the server as a
// request for a stream, whose events the entry assembles into the response. This is done
// for overnight work, because only a stream can be preempted by urgent work and resumed
// without losing the generated tokens. It isn't done for requests that use more than the
// plain text of one choice, as their events cannot be assembled.
func isAssembled(r *request) bool {
	if r.Model == "" || r.Stream || r.Rank != document.Overnight {
		return false
	}
	var body struct {
		Choices  int             `json:"n"`
		Tools    json.RawMessage `json:"tools"`
		LogProbs bool            `json:"logprobs"`
		Format   json.RawMessage `json:"response_format"`
	}
	if json.Unmarshal(r.Body, &body) != nil {
		return false
	}
	return body.Choices <= 1 && body.Tools == nil && !body.LogProbs && body.Format == nil
}

// withStreaming returns the request body with streaming enabled, and with the option by
// which the stream also reports the token usage.
func withStreaming(body []byte) ([]byte, error) {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, errors.Wrap(err, "request body")
	}
	fields["stream"] = json.RawMessage("true")
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	return json.Marshal(fields)
}

// serveAssembled responds to a request for a complete response by assembling it from a
// stream.
func (e *Entry) serveAssembled(ctx *fasthttp.RequestCtx, r *request) {
	body, err := withStreaming(r.Body)
	if err != nil {
		failure := result.Malformed.Error(err.Error())
		e.finishRequest(r, 0, failure)
		failure.Write(&ctx.Response)
		return
	}
	r.Body, r.Stream = body, true
	var streamFailure *result.Error
	relay := &streamRelay{
		dispatcher: e.dispatcher,
		request:    r,
		history:    &attemptHistory{},
		onEnd: func(tokens int, failure *result.Error) {
			streamFailure = failure
			e.finishRequest(r, float64(tokens), failure)
		},
	}
	failure := relay.open()
	if failure != nil {
		relay.current = nil
		relay.finish(failure)
		failure.Write(&ctx.Response)
		return
	}
	text, err := assembleCompletion(relay)
	_ = relay.Close()
	switch {
	case streamFailure != nil:
		streamFailure.Write(&ctx.Response)
	case err != nil:
		result.Internal.Error(err.Error()).Write(&ctx.Response)
	default:
		ctx.Response.Header.Set("Fuchsiarouter-Version", r.Version)
		ctx.SetContentType("application/json")
		ctx.SetBody(text)
	}
}

// assembleCompletion assembles one completion from the events of a stream.
func assembleCompletion(source io.Reader) ([]byte, error) {
	type message struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
	type choice struct {
		Index        int     `json:"index"`
		Message      message `json:"message"`
		FinishReason *string `json:"finish_reason"`
	}
	var completion struct {
		ID                string          `json:"id"`
		Object            string          `json:"object"`
		Created           int64           `json:"created,omitempty"`
		Model             string          `json:"model"`
		SystemFingerprint string          `json:"system_fingerprint"`
		Choices           []choice        `json:"choices"`
		Usage             json.RawMessage `json:"usage,omitempty"`
	}
	completion.Object = "chat.completion"
	completion.Choices = []choice{{Message: message{Role: "assistant"}}}
	events := stream.NewReader(source)
	for {
		event, err := events.Next()
		if err != nil {
			return nil, err
		}
		if event.IsDone() {
			return json.Marshal(completion)
		}
		if event.Name == stream.ErrorEventName {
			return nil, errors.New("the stream failed")
		}
		var chunk struct {
			ID                string `json:"id"`
			Created           int64  `json:"created"`
			Model             string `json:"model"`
			SystemFingerprint string `json:"system_fingerprint"`
			Choices           []struct {
				Delta        message `json:"delta"`
				FinishReason *string `json:"finish_reason"`
			} `json:"choices"`
			Usage json.RawMessage `json:"usage"`
		}
		if err := json.Unmarshal(event.Data, &chunk); err != nil {
			return nil, errors.Wrap(err, "event")
		}
		completion.ID, completion.Created, completion.Model, completion.SystemFingerprint = chunk.ID, chunk.Created, chunk.Model, chunk.SystemFingerprint
		if chunk.Usage != nil {
			completion.Usage = chunk.Usage
		}
		for _, choice := range chunk.Choices {
			completion.Choices[0].Message.Content += choice.Delta.Content
			if choice.FinishReason != nil {
				completion.Choices[0].FinishReason = choice.FinishReason
			}
		}
	}
}
