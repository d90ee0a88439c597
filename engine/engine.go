// Package engine implements the HTTP client of the model engine next to an agent.
//
// Requests have the chat-completions format; a streamed response is passed on as it
// arrives. Orders load and unload versions and adapters and change the role of the
// engine. They carry a fencing token that increases with each start of the agent and after
// each order without an answer, so that an engine which checks the token refuses orders of an
// earlier process and those that it gets to execute late.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"slices"
	"strconv"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/trace"
	"github.com/fuchsiarouter/fuchsiarouter/upstream"
)

// maxOrderResponseBytes is the number of bytes that are read of the response to an order. The
// rest is ignored.
const maxOrderResponseBytes = 1 << 20

// ErrFenced reports that the engine refused an order because it has received one with a
// higher fencing token, that is, from a newer process of the agent.
var ErrFenced = errors.New("engine refused an old fencing token")

// ErrUnanswered reports that an order was sent and no whole answer arrived. The engine may have
// executed the order, or may execute it later.
var ErrUnanswered = errors.New("no answer to the order")

// Client calls an engine over HTTP. It implements fuchsiarouter.Engine.
type Client struct {
	address string
	http    *upstream.Client
}

var _ fuchsiarouter.Engine = (*Client)(nil)

// New returns a client of the engine at the address, which sends through the given HTTP
// client.
func New(address string, client *upstream.Client) *Client {
	return &Client{address: address, http: client}
}

// Status implements fuchsiarouter.Engine. A version in any state but "ready" is reported as
// being fetched.
func (c *Client) Status(ctx context.Context) (fuchsiarouter.EngineStatus, error) {
	var wire struct {
		Incarnation int64              `json:"incarnation"`
		Fence       int64              `json:"fence"`
		Slots       int                `json:"slots"`
		Running     int                `json:"running"`
		Queued      int                `json:"queued"`
		Role        fuchsiarouter.Role `json:"role"`
		Models      []struct {
			Model  string `json:"model"`
			Base   string `json:"base"`
			Digest string `json:"digest"`
			State  string `json:"state"`
		} `json:"models"`
	}
	if err := c.sendOrder(ctx, fasthttp.MethodGet, "/status", nil, &wire); err != nil {
		return fuchsiarouter.EngineStatus{}, errors.Wrap(err, "engine status")
	}
	status := fuchsiarouter.EngineStatus{
		Incarnation:  wire.Incarnation,
		FencingToken: wire.Fence,
		Slots:        wire.Slots,
		Running:      wire.Running,
		Queued:       wire.Queued,
		Role:         wire.Role,
	}
	for _, model := range wire.Models {
		state := fuchsiarouter.VersionFetching
		if model.State == "ready" {
			state = fuchsiarouter.VersionReady
		}
		status.Versions = append(status.Versions, fuchsiarouter.Version{
			Model: model.Model, Digest: identityOf(model.Base, model.Digest), State: state,
		})
	}
	return status, nil
}

// Load implements fuchsiarouter.Engine.
func (c *Client) Load(ctx context.Context, order fuchsiarouter.LoadOrder) (string, error) {
	orderBody := newFencedOrder(order.Model, order.Digest, order.FencingToken)
	begin, err := json.Marshal(struct {
		fencedOrder
		Chunks   int             `json:"chunks"`
		Manifest json.RawMessage `json:"manifest"`
	}{orderBody, order.ChunkCount, order.Manifest})
	if err != nil {
		return "", errors.Wrap(err, "load order")
	}
	if err := c.sendOrder(ctx, fasthttp.MethodPost, "/orders/load", begin, nil); err != nil {
		return "", errors.Wrap(err, "begin load")
	}
	for index := range order.ChunkCount {
		chunk, err := order.ReadChunk(ctx, index)
		if err != nil {
			return "", errors.Wrapf(err, "chunk %d", index)
		}
		path := fmt.Sprintf("/orders/chunks/%s/%s/%d", url.PathEscape(order.Model), orderBody.Digest, index)
		if err := c.sendOrder(ctx, fasthttp.MethodPut, path, chunk, nil); err != nil {
			return "", errors.Wrapf(err, "load chunk %d", index)
		}
	}
	commit, err := json.Marshal(orderBody)
	if err != nil {
		return "", errors.Wrap(err, "commit order")
	}
	var wire struct {
		Digest string `json:"digest"`
	}
	if err := c.sendOrder(ctx, fasthttp.MethodPost, "/orders/commit", commit, &wire); err != nil {
		return "", errors.Wrap(err, "commit load")
	}
	return identityOf(orderBody.Base, wire.Digest), nil
}

// Unload implements fuchsiarouter.Engine.
func (c *Client) Unload(ctx context.Context, model, digest string, fence int64) error {
	body, err := json.Marshal(newFencedOrder(model, digest, fence))
	if err != nil {
		return errors.Wrap(err, "unload order")
	}
	// errors.Wrap returns an error even if err is nil.
	if err := c.sendOrder(ctx, fasthttp.MethodPost, "/orders/unload", body, nil); err != nil {
		return errors.Wrap(err, "unload")
	}
	return nil
}

// ChangeRole implements fuchsiarouter.Engine.
func (c *Client) ChangeRole(ctx context.Context, role fuchsiarouter.Role, fence int64) error {
	body, err := json.Marshal(struct {
		Role  fuchsiarouter.Role `json:"role"`
		Fence int64              `json:"fence"`
	}{role, fence})
	if err != nil {
		return errors.Wrap(err, "role order")
	}
	if err := c.sendOrder(ctx, fasthttp.MethodPost, "/orders/role", body, nil); err != nil {
		return errors.Wrap(err, "change role")
	}
	return nil
}

// Generate implements fuchsiarouter.Engine. The context is not used; closing the body of the
// response cancels the request.
func (c *Client) Generate(_ context.Context, generation fuchsiarouter.GenerateRequest) (fuchsiarouter.Response, error) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.SetRequestURI("http://" + c.address + "/v1/chat/completions")
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.SetContentType("application/json")
	request.Header.Set("Request-Id", generation.RequestID)
	request.Header.Set("Priority", strconv.Itoa(generation.Priority))
	request.Header.Set("Resume-Offset", strconv.Itoa(generation.ResumeOffset))
	request.Header.Set(trace.Header, generation.Traceparent)
	body, err := replaceModel(generation.Body, generation.Model+"@"+generation.Digest)
	if err != nil {
		return fuchsiarouter.Response{}, err
	}
	request.SetBodyRaw(body)
	return c.http.Do(request)
}

// fencedOrder is the body of an order about a version or an adapter. For a version, Digest
// is its digest and Base is empty. For an adapter, Digest is that of the adapter and Base
// that of the version that the adapter was made for. Fence is the fencing token.
type fencedOrder struct {
	Model  string `json:"model"`
	Base   string `json:"base,omitempty"`
	Digest string `json:"digest"`
	Fence  int64  `json:"fence"`
}

// newFencedOrder returns the order for a version or an adapter with this identity, see
// fuchsiarouter.JoinIdentity.
func newFencedOrder(model, identity string, fence int64) fencedOrder {
	version, adapter := fuchsiarouter.SplitIdentity(identity)
	if adapter == "" {
		return fencedOrder{Model: model, Digest: version, Fence: fence}
	}
	return fencedOrder{Model: model, Base: version, Digest: adapter, Fence: fence}
}

// identityOf returns the identity, see fuchsiarouter.JoinIdentity, of what an engine
// reports as loaded: the version with the digest if base is empty, and otherwise the
// adapter with the digest on the version with the digest base.
func identityOf(base, digest string) string {
	if base == "" {
		return digest
	}
	return fuchsiarouter.JoinIdentity(base, digest)
}

// replaceModel replaces the model in the body of a chat-completions request, or adds it if
// the body has none. The other fields keep their values, but if findModelValue doesn't find
// the model, the body is encoded anew. It fails if such a body isn't a JSON object.
func replaceModel(body []byte, model string) ([]byte, error) {
	modelName, err := json.Marshal(model)
	if err != nil {
		return nil, errors.Wrap(err, "model name")
	}
	if start, end, ok := findModelValue(body); ok {
		return slices.Concat(body[:start], modelName, body[end:]), nil
	}
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, errors.Wrap(err, "request body")
	}
	fields["model"] = modelName
	return json.Marshal(fields)
}

// sendOrder sends an order or a status request and decodes the response into target, unless
// target is nil. Status 409 is returned as ErrFenced, any other error status as an error with
// the text of the response, and a missing response as ErrUnanswered. The context is only checked before sending; an order without a
// response ends when the agent closes the connections of an unresponsive engine.
func (c *Client) sendOrder(ctx context.Context, method, path string, body []byte, target any) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.SetRequestURI("http://" + c.address + path)
	request.Header.SetMethod(method)
	request.SetBodyRaw(body)
	response, err := c.http.Do(request)
	if upstream.IsNotSent(err) {
		return err
	}
	if err != nil {
		return errors.Join(ErrUnanswered, err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxOrderResponseBytes))
	if err != nil {
		return errors.Join(ErrUnanswered, errors.Wrap(err, "read response"))
	}
	switch {
	case response.Status == fasthttp.StatusConflict:
		return ErrFenced
	case response.Status >= fasthttp.StatusBadRequest:
		return errors.Errorf("engine responded with status %d: %s", response.Status, bytes.TrimSpace(text))
	case target == nil:
		return nil
	default:
		return json.Unmarshal(text, target)
	}
}
