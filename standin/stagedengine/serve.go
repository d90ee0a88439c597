package stagedengine

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// Kind is the kind of a call.
type Kind string

// The kinds of calls.
const (
	Report Kind = "report"
	Order  Kind = "order"
	// Put stages a piece, Get reads one, and List lists those that are staged.
	Put  Kind = "put"
	Get  Kind = "get"
	List Kind = "list"
)

// Call is a call that has arrived at an engine.
type Call struct {
	Kind Kind
	// Piece is the index of the piece of a Put or Get.
	Piece int
	// Version is the version of the content of a Put, of an Order, or of the content that is
	// staged when a Get arrives. It is 0 for a piece that is corrupt or missing.
	Version int
}

// Fault is what goes wrong with a call. The zero value is no fault.
type Fault struct {
	// CloseAfter, if it is positive, is the time from the arrival of the call after which its
	// connection is closed. The call is still carried out.
	CloseAfter time.Duration
	// Before and After are called before and after the call is carried out, if they are set.
	// They may sleep; After delays the answer.
	Before func()
	After  func()
	// Reject answers the call with status 503 instead of carrying it out.
	Reject bool
	// Refuse answers the call with status 409 instead of carrying it out.
	Refuse bool
	// Corrupt corrupts the content of a Put.
	Corrupt bool
	// LoseAnswer closes the connection instead of answering the call.
	LoseAnswer bool
	// Silent leaves the connection open without an answer.
	Silent bool
	// LastOnConnection closes the connection after the answer, which announces it.
	LastOnConnection bool
	// Extra are bytes that are sent after the answer, on the same connection, when the caller has
	// had time to read the answer.
	Extra string
}

// extraDelay is the time between an answer and extra bytes.
const extraDelay = 20 * time.Millisecond

// orderBody is the body of an order.
type orderBody struct {
	Op       string `json:"op"`
	Model    string `json:"model"`
	Version  int    `json:"version"`
	Expected *int64 `json:"expected"`
}

// pathPrefix is the prefix of the paths of all calls.
const pathPrefix = "/fuchsiarouter/"

func (e *Engine) serveHTTP(ctx *fasthttp.RequestCtx) {
	arrivedAt := time.Now()
	call, order := e.decode(ctx)
	e.countCall()
	incarnation := e.incarnation()
	var fault Fault
	if e.settings.Fault != nil && call.Kind != "" {
		fault = e.settings.Fault(call)
	}
	if ctx.ConnRequestNum() == 1 {
		incarnation = e.admit(ctx.Conn())
	}
	if fault.CloseAfter > 0 {
		connection := ctx.Conn()
		time.AfterFunc(fault.CloseAfter, func() { _ = connection.Close() })
	}
	if fault.Before != nil {
		fault.Before()
	}
	e.awaitRunning()
	// A call ends with the incarnation at which it has arrived.
	if incarnation.IsZero() || !e.incarnation().Equal(incarnation) {
		_ = ctx.Conn().Close()
		return
	}
	switch {
	case fault.Reject:
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	case fault.Refuse:
		ctx.SetStatusCode(fasthttp.StatusConflict)
	default:
		e.carryOut(ctx, call, order, arrivedAt, fault.Corrupt)
	}
	if fault.After != nil {
		fault.After()
	}
	e.awaitRunning()
	switch {
	case fault.LoseAnswer:
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(net.Conn) {})
	case fault.Silent:
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(connection net.Conn) {
			_, _ = io.Copy(io.Discard, connection)
		})
	case fault.LastOnConnection:
		ctx.SetConnectionClose()
	case fault.Extra != "":
		connection := ctx.Conn()
		time.AfterFunc(extraDelay, func() { _, _ = connection.Write([]byte(fault.Extra)) })
	}
}

// decode returns the call of a request, and the body of an order. The kind is empty if the path is
// unknown.
func (e *Engine) decode(ctx *fasthttp.RequestCtx) (Call, orderBody) {
	var order orderBody
	name, model, _ := strings.Cut(strings.TrimPrefix(string(ctx.Path()), pathPrefix), "/")
	piece := ctx.QueryArgs().GetUintOrZero("quantity")
	switch {
	case name == "report":
		return Call{Kind: Report}, order
	case name == "order" && json.Unmarshal(ctx.PostBody(), &order) == nil:
		return Call{Kind: Order, Version: order.Version}, order
	case model != e.settings.Model:
		return Call{}, order
	case name == "stage-put":
		return Call{Kind: Put, Piece: piece, Version: contentVersion(piece, ctx.PostBody(), e.settings.PieceBytes)}, order
	case name == "stage-get" && !ctx.QueryArgs().Has("quantity"):
		return Call{Kind: List}, order
	case name == "stage-get":
		e.mu.Lock()
		defer e.mu.Unlock()
		call := Call{Kind: Get, Piece: piece}
		if staged := e.staged[piece]; staged != nil {
			call.Version = staged.version
		}
		return call, order
	}
	return Call{}, order
}

// carryOut carries out a call and sets the answer.
func (e *Engine) carryOut(ctx *fasthttp.RequestCtx, call Call, order orderBody, arrivedAt time.Time, corruptContent bool) {
	switch call.Kind {
	case Report:
		ctx.SetBody(e.report())
	case Order:
		ctx.SetStatusCode(e.order(order, arrivedAt))
	case Put:
		content := ctx.PostBody()
		if corruptContent {
			content = corrupt(content)
		}
		e.mu.Lock()
		e.store(call.Piece, content)
		e.mu.Unlock()
	case Get:
		content := e.read(call.Piece)
		if content == nil {
			ctx.SetStatusCode(fasthttp.StatusNotFound)
		}
		ctx.SetBody(content)
	case List:
		ctx.SetBodyString(strings.ReplaceAll(fmt.Sprintf(`{"held":%v}`, e.held()), " ", ","))
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// report returns the body of the answer to a Report.
func (e *Engine) report() []byte {
	type loadedModel struct {
		Name     string   `json:"name"`
		Version  int      `json:"version"`
		Adapters []string `json:"adapters"`
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	models := []loadedModel{}
	if e.version > 0 {
		models = append(models, loadedModel{Name: e.settings.Model, Version: e.version, Adapters: []string{}})
	}
	body, err := json.Marshal(struct {
		Born   int64         `json:"born"`
		Stage  string        `json:"stage"`
		Models []loadedModel `json:"models"`
		Busy   bool          `json:"busy"`
		Seq    int64         `json:"seq"`
	}{e.born, "unified", models, e.loading, e.orders})
	if err != nil {
		panic(err)
	}
	return body
}
