package ingress

import (
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/fuchsiarouter/fuchsiarouter/intake"
	"github.com/fuchsiarouter/fuchsiarouter/tcp"
	"github.com/fuchsiarouter/fuchsiarouter/telemetry"
)

const (
	// Parts of the sockets that the connections to each address may take. The others are for the
	// connections to servers, daemons and the registry.
	callerSocketShare    = 0.5
	directorySocketShare = 0.1
	readinessSocketShare = 0.03
	peerSocketShare      = 0.12
	// callerMemoryShare is the part of the memory that the connections of callers may take, and
	// controlMemoryShare that of the connections to each other address.
	callerMemoryShare  = 0.35
	controlMemoryShare = 0.05
	// callerReceiveBytes and controlReceiveBytes are the sizes of the receive buffers of connections.
	// With that of callers, a body of 4 MiB takes 0.8 s at 6 ms between a request and its response.
	callerReceiveBytes  = 32 << 10
	controlReceiveBytes = 8 << 10
	// controlConnectionBytes is what a connection to another address than that of callers holds: two
	// buffers of 4 KiB, a body, the stack of its goroutine and the receive buffer.
	controlConnectionBytes = 20<<10 + controlReceiveBytes
	// keptConnectionShare is the part of the connections of callers above which they are closed after
	// a response, before idle ones are closed for new ones.
	keptConnectionShare = 0.8
	// unusedTimeout is how long a connection may be open before the first byte of a request arrives.
	unusedTimeout = 20 * time.Second
	// defaultHeadTimeout and defaultIdleTimeout are the times for the head of a request, and between
	// a response and the next request, if the configuration has none. Callers keep a connection open
	// for a few minutes at most.
	defaultHeadTimeout = 20 * time.Second
	defaultIdleTimeout = 10 * time.Minute
	// bodyTimeout bounds the time for reading one body.
	bodyTimeout = 20 * time.Second
)

// limits returns what the process may take of its machine.
func (s Settings) limits() intake.Limits {
	return intake.Limits{MemoryBytes: s.MemoryBytes, Descriptors: s.MaxDescriptors}
}

// callerConnectionLimit returns the number of connections of callers.
func callerConnectionLimit(settings Settings) int {
	return settings.limits().Connections(callerSocketShare, callerMemoryShare, intake.ConnectionBytes+callerReceiveBytes)
}

// callerTimeouts returns the timeouts of callers by the current configuration.
func (i *Ingress) callerTimeouts() intake.Timeouts {
	timeouts := intake.Timeouts{Unused: unusedTimeout, Head: defaultHeadTimeout, Idle: defaultIdleTimeout}
	if configuration := i.mirror.View().Configuration; configuration != nil {
		if configuration.Limits.HeaderTimeout > 0 {
			timeouts.Head = configuration.Limits.HeaderTimeout
		}
		if configuration.Limits.IdleTimeout > 0 {
			timeouts.Idle = configuration.Limits.IdleTimeout
		}
	}
	return timeouts
}

// callerEndpoint returns the endpoint for callers.
func (i *Ingress) callerEndpoint() endpoint {
	return endpoint{
		address: i.settings.CallerAddress, server: i.callerServer,
		settings: intake.Settings{
			Connections: callerConnectionLimit(i.settings), ReceiveBytes: callerReceiveBytes, Timeouts: i.callerTimeouts,
		},
	}
}

// controlEndpoint returns the endpoint at an address other than that of callers, which may take a part
// of the sockets.
func (i *Ingress) controlEndpoint(address string, handler fasthttp.RequestHandler, socketShare float64) endpoint {
	return endpoint{
		address: address, server: newControlServer(handler, i.requestLog),
		settings: intake.Settings{
			Connections:  i.settings.limits().Connections(socketShare, controlMemoryShare, controlConnectionBytes),
			ReceiveBytes: controlReceiveBytes, WriteTimeout: intake.ResponseTimeout,
		},
	}
}

// endpoint is an address with the HTTP server that listens on it.
type endpoint struct {
	// address is empty if there is none.
	address  string
	server   *fasthttp.Server
	settings intake.Settings
}

// listenAt listens at an endpoint.
func (i *Ingress) listenAt(e endpoint, metrics telemetry.Metrics) (*intake.Listener, error) {
	inner, err := tcp.Listen(e.address, i.log)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", e.address)
	}
	return intake.New(inner, e.settings, i.log, metrics.Scope), nil
}

// serveAt serves the connections of a listener at an endpoint.
func (i *Ingress) serveAt(e endpoint, listener *intake.Listener) {
	i.background.Go(func() {
		if err := listener.Serve(e.server); err != nil {
			i.log.Error("HTTP server stopped", zap.String("address", e.address), telemetry.Cause(err))
		}
	})
}
