package entry

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/budget"
	"github.com/fuchsiarouter/fuchsiarouter/caller"
	"github.com/fuchsiarouter/fuchsiarouter/dispatch"
	"github.com/fuchsiarouter/fuchsiarouter/document"
	"github.com/fuchsiarouter/fuchsiarouter/result"
	"github.com/fuchsiarouter/fuchsiarouter/trace"
)

const (
	// headerResumeOffset holds the number of tokens of the stream that the caller already
	// has.
	headerResumeOffset = "Fuchsiarouter-Resume-Offset"
	servicePrefix      = "/v1/services/"
	// adapterSeparator separates the names of a model and of an adapter.
	adapterSeparator = ":"
	// defaultOutputTokens is the expected number of output tokens of a request that sets
	// no max_tokens.
	defaultOutputTokens = 256
	// bytesPerToken is the assumed mean length of a token, by which the number of tokens of
	// a prompt is estimated from the size of the request body.
	bytesPerToken = 4
	// promptTokenCost is the cost of a prompt token in output tokens, the unit of the
	// limits of workspaces.
	promptTokenCost = 0.1
	// minPrefixBytes is the length from which the first message of a request counts as a
	// shared prefix. Reusing a shorter one saves less than an unrestricted choice of the
	// server does.
	minPrefixBytes = 1024
	// maxRequestIDBytes bounds the request id of a caller, in bytes.
	maxRequestIDBytes = 128
)

// request is a classified request of a caller.
type request struct {
	dispatch.Call
	// workspace is the configuration of the workspace whose name is in Call.Workspace.
	workspace document.Workspace
	// adapter is the name of an adapter of the model, or empty.
	adapter string
	// service is the name of a plain service, or empty for a request to a model.
	service string
	// prefix is a digest of the start of the prompt that other requests may share. It is
	// empty if the start is too short for that, see minPrefixBytes.
	prefix string
	// resumesStream is set if the caller continues a stream that another entry had begun.
	// Only the version that the caller names may run the request.
	resumesStream bool
	// span is the span of the whole request at this entry.
	span trace.Span
	// caller reports when the connection of the caller is closed.
	caller *caller.Watch
	// bodyHold is the memory of the body, nil if the body is short.
	bodyHold *budget.Hold
}

// group returns the routing group of the backend servers that can run the request.
func (r *request) group() string {
	if r.service != "" {
		return "service " + r.service
	}
	return versionGroup(r.Model, r.Version)
}

// versionGroup returns the routing group of the backend servers that have loaded a version
// of the model, or an adapter on a version. identity is explained at
// fuchsiarouter.JoinIdentity.
func versionGroup(model, identity string) string { return "version " + model + "@" + identity }

// classify identifies the workspace of a request and determines the model or service that
// the request is for, its rank, its deadline and the stream that it resumes, if any. If it
// fails after the workspace is known, it returns the incomplete request as well.
func classify(config *config, ctx *fasthttp.RequestCtx, now time.Time) (*request, *result.Error) {
	header := &ctx.Request.Header
	workspace, failure := config.identify(string(header.Peek(fasthttp.HeaderAuthorization)))
	if failure != nil {
		return nil, failure
	}
	r := &request{workspace: workspace}
	r.RequestID = requestID(string(header.Peek(dispatch.HeaderRequestID)))
	r.Workspace = workspace.Name
	r.Weight = workspace.Weight
	r.Method = string(header.Method())
	r.Path = string(ctx.RequestURI())
	r.ContentType = string(header.ContentType())
	r.Traceparent = string(header.Peek(trace.Header))
	r.Body = append([]byte(nil), ctx.PostBody()...)
	r.Fingerprint = dispatch.Fingerprint(workspace.Name, r.Path, r.Body)
	if strings.HasPrefix(r.Path, servicePrefix) {
		failure = r.readService(config, string(ctx.Path()))
	} else {
		failure = r.readChat(config)
	}
	if failure != nil {
		return r, failure
	}
	var serviceRank document.RankName
	if service, ok := config.document.Services.FindService(r.service); ok {
		serviceRank = service.Rank
	}
	r.Rank, failure = config.rankFor(workspace, document.RankName(header.Peek(dispatch.HeaderRank)), serviceRank)
	if failure != nil {
		return r, failure
	}
	if failure = r.readDeadline(string(header.Peek(dispatch.HeaderDeadline)), now); failure != nil {
		return r, failure
	}
	return r, r.readResume(config, string(header.Peek(headerResumeOffset)), string(header.Peek(dispatch.HeaderVersion)))
}

// requestID returns the caller's id, or a new one if the caller sent none or one that is
// too long.
func requestID(requested string) string {
	if requested != "" && len(requested) <= maxRequestIDBytes {
		return requested
	}
	return uuid.NewString()
}

// readChat reads a chat-completions request: the model, the adapter, the shared prefix and
// the expected tokens.
func (r *request) readChat(config *config) *result.Error {
	var body struct {
		Model     string            `json:"model"`
		Stream    bool              `json:"stream"`
		MaxTokens int               `json:"max_tokens"`
		Messages  []json.RawMessage `json:"messages"`
	}
	if err := json.Unmarshal(r.Body, &body); err != nil {
		return result.Malformed.Error("the body is not a chat-completions request: " + err.Error())
	}
	name, adapter, isAdapter := strings.Cut(body.Model, adapterSeparator)
	model, ok := config.document.Models.FindModel(name)
	if !ok {
		return result.UnknownModel.Error("no model " + strconv.Quote(name))
	}
	if isAdapter && !model.HasAdapter(adapter) {
		return result.UnknownModel.Error("no adapter " + strconv.Quote(adapter) + " of model " + strconv.Quote(name))
	}
	if body.MaxTokens <= 0 {
		body.MaxTokens = defaultOutputTokens
	}
	r.Model, r.adapter = name, adapter
	if len(body.Messages) > 0 && len(body.Messages[0]) >= minPrefixBytes {
		r.prefix = prefixHash(body.Model, body.Messages[0])
	}
	r.Stream = body.Stream
	r.Idempotent = true
	r.ExpectedTokens = float64(body.MaxTokens) + promptTokenCost*float64(len(r.Body)/bytesPerToken)
	return nil
}

// prefixHash returns a digest of the first message of a prompt and the model.
func prefixHash(model string, message []byte) string {
	hash := xxhash.New()
	_, _ = hash.WriteString(model)
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write(message)
	return strconv.FormatUint(hash.Sum64(), 16)
}

// readService reads a request to a plain service: the name of the service and whether the
// request is idempotent. The expected cost of a request to a service is one token. path is
// the decoded path of the request.
func (r *request) readService(config *config, path string) *result.Error {
	name, rest, _ := strings.Cut(strings.TrimPrefix(path, servicePrefix), "/")
	service, ok := config.document.Services.FindService(name)
	if !ok {
		return result.UnknownService.Error("no service " + strconv.Quote(name))
	}
	r.service = name
	r.Idempotent = isIdempotent(service, r.Method, "/"+rest)
	r.ExpectedTokens = 1
	return nil
}

// readDeadline sets the deadline: the requested one, but at most maxDeadline from now, or the
// default of the rank if requested is empty. requested is the value of the header, in
// milliseconds from now.
func (r *request) readDeadline(requested string, now time.Time) *result.Error {
	deadline := defaultDeadlines[r.Rank]
	if requested != "" {
		milliseconds, err := strconv.ParseInt(requested, 10, 64)
		if err != nil || milliseconds <= 0 {
			return result.Malformed.Error(dispatch.HeaderDeadline + " is not a positive number of milliseconds")
		}
		deadline = min(time.Duration(milliseconds)*time.Millisecond, maxDeadline)
	}
	r.Deadline = now.Add(deadline)
	return nil
}

// readResume reads which stream the caller resumes: offset is the number of tokens that the
// caller has, and version the identity of what has generated them. Both are header values;
// an empty offset means that no stream is resumed.
func (r *request) readResume(config *config, offset, version string) *result.Error {
	if offset == "" {
		return nil
	}
	number, err := strconv.Atoi(offset)
	if err != nil || number < 0 || !r.Stream || version == "" {
		return result.Malformed.Error(headerResumeOffset + " takes a number of tokens, with " + dispatch.HeaderVersion + ", for a stream")
	}
	if !r.matchesAdapter(config, version) {
		return result.UnknownModel.Error("the stream to resume is of another adapter")
	}
	r.ResumeOffset, r.Version, r.resumesStream = number, version, true
	return nil
}

// matchesAdapter reports whether an identity has the adapter that the request names, on a
// version in the configuration, or no adapter if the request names none.
func (r *request) matchesAdapter(config *config, identity string) bool {
	base, adapter := fuchsiarouter.SplitIdentity(identity)
	if r.adapter == "" || adapter == "" {
		return r.adapter == "" && adapter == ""
	}
	model, _ := config.document.Models.FindModel(r.Model)
	for _, version := range model.Versions {
		if version.Digest == base && identityOf(model, version, r.adapter) == identity {
			return true
		}
	}
	return false
}
