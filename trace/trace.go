// Package trace creates one span for each hop of a request.
//
// The hops are the handling of the request at the entry, each attempt to send it to an
// agent, and its handling at the agent, which includes the wait in the queue and the request
// to the engine or service. The trace context is propagated in the W3C traceparent header.
// Without a collector there are no spans: a valid header of the caller is propagated
// unchanged, and a request without one gets a new trace id.
package trace

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	oteltrace "go.opentelemetry.io/otel/trace"
)

// Header is the name of the HTTP header that carries the trace context.
const Header = "traceparent"

// closeTimeout bounds the last export when a daemon stops.
const closeTimeout = 2 * time.Second

// Tracer creates the spans of one daemon.
type Tracer struct {
	provider   *sdk.TracerProvider
	tracer     oteltrace.Tracer
	propagator propagation.TraceContext
	// isExporting is set if there is a collector. If it isn't, tracer and propagator are
	// not used.
	isExporting bool
}

// New returns a tracer for the daemon with this kind and id. It exports the spans over HTTP
// without TLS to the OTLP collector at endpoint, a host and port, or nowhere if endpoint is
// empty.
func New(ctx context.Context, kind, id, endpoint string) (*Tracer, error) {
	if endpoint == "" {
		// The SDK would create ids and contexts for each hop that nothing would use.
		return &Tracer{provider: sdk.NewTracerProvider(sdk.WithSampler(sdk.NeverSample()))}, nil
	}
	options := []sdk.TracerProviderOption{
		sdk.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "fuchsiarouter-"+kind),
			attribute.String("service.instance.id", id),
		)),
	}
	exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpoint(endpoint), otlptracehttp.WithInsecure())
	if err != nil {
		return nil, errors.Wrap(err, "trace exporter")
	}
	provider := sdk.NewTracerProvider(append(options, sdk.WithBatcher(exporter))...)
	return &Tracer{provider: provider, tracer: provider.Tracer("fuchsiarouter"), isExporting: true}, nil
}

// Start starts the span of a hop as a child of the span in parent, a value of the
// traceparent header. It returns the span and the value of the header for the next hop.
// Without a collector it returns the zero Span, and parent itself or, if that is invalid,
// the header of a new trace.
func (t *Tracer) Start(ctx context.Context, name, parent string, attributes ...attribute.KeyValue) (Span, string) {
	if !t.isExporting {
		if !isTraceparent(parent) {
			parent = newTraceparent()
		}
		return Span{}, parent
	}
	ctx = t.propagator.Extract(ctx, propagation.MapCarrier{Header: parent})
	ctx, span := t.tracer.Start(ctx, name, oteltrace.WithAttributes(attributes...))
	carrier := propagation.MapCarrier{}
	t.propagator.Inject(ctx, carrier)
	return Span{span: span}, carrier[Header]
}

// Close exports the remaining spans, for at most closeTimeout. The tracer must not be used
// afterwards.
func (t *Tracer) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	return t.provider.Shutdown(ctx)
}

// Span is the span of one hop of a request. The zero value records nothing.
type Span struct {
	span oteltrace.Span
}

// End ends the span and records the result of the hop, such as "0 ok", in it.
func (s Span) End(result string) {
	if s.span == nil {
		return
	}
	s.span.SetAttributes(attribute.String("fuchsiarouter.result", result))
	s.span.End()
}

// traceparentLength is the length of a version 00 header in bytes: 2 digits of the version,
// 32 of the trace id, 16 of the span id and 2 of the flags, separated by hyphens.
const traceparentLength = 2 + 1 + 32 + 1 + 16 + 1 + 2

// isTraceparent reports whether the header is valid in version 00 of the format. Ids of
// zeros are not.
func isTraceparent(header string) bool {
	if len(header) != traceparentLength || header[:3] != "00-" || header[35] != '-' || header[52] != '-' {
		return false
	}
	for i := 3; i < len(header); i++ {
		isDigit := header[i] >= '0' && header[i] <= '9' || header[i] >= 'a' && header[i] <= 'f'
		if !isDigit && i != 35 && i != 52 {
			return false
		}
	}
	return strings.Trim(header[3:35], "0") != "" && strings.Trim(header[36:52], "0") != ""
}

// newTraceparent returns the header of a new trace with random ids that is marked as not
// sampled.
func newTraceparent() string {
	return fmt.Sprintf("00-%016x%016x-%016x-00", rand.Uint64(), rand.Uint64(), rand.Uint64()|1)
}
