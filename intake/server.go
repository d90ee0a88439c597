package intake

import (
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// Parts of the sockets and of the memory that the connections to a daemon for requests may take.
	socketShare = 0.5
	memoryShare = 0.35
	// receiveBytes is the size of the receive buffer of a connection. With it, 2.5 MB/s arrive at 100 ms
	// between a request and its response.
	receiveBytes = 256 << 10
	// headTimeout is the time for the head of a request, and from the start of a connection to the
	// first byte, and idleTimeout that between a response and the next request.
	headTimeout = 20 * time.Second
	idleTimeout = time.Minute
	// BodyTimeout bounds the time for reading one body.
	BodyTimeout = time.Minute
	// noTimeout is longer than the timeouts of a Listener.
	noTimeout = 24 * time.Hour
)

// DefaultSettings returns the settings of a listener for requests with bodies.
func DefaultSettings(limits Limits) Settings {
	timeouts := Timeouts{Unused: headTimeout, Head: headTimeout, Idle: idleTimeout}
	return Settings{
		Connections:  limits.Connections(socketShare, memoryShare, ConnectionBytes),
		ReceiveBytes: receiveBytes, WriteTimeout: ResponseTimeout, Timeouts: func() Timeouts { return timeouts },
	}
}

// NewServer returns a server for Listener.Serve whose handler reads the bodies of requests with Bodies,
// up to a limit. The listener enforces the timeouts up to the end of a head.
func NewServer(handler fasthttp.RequestHandler, bodyLimit func() int, bodyTimeout time.Duration) *fasthttp.Server {
	return &fasthttp.Server{
		Handler: handler, HeaderReceived: func(header *fasthttp.RequestHeader) fasthttp.RequestConfig {
			config := fasthttp.RequestConfig{ReadTimeout: bodyTimeout}
			if header.ContentLength() > bodyLimit() {
				// A single byte is read before the handler is called, since no more may come.
				config.MaxRequestBodySize = 1
			}
			return config
		},
		StreamRequestBody: true, IdleTimeout: noTimeout, ReadTimeout: noTimeout,
		// A multipart form that is parsed is not forwarded byte for byte: fasthttp writes it anew.
		DisablePreParseMultipartForm: true, NoDefaultServerHeader: true, Logger: discardLogger{},
	}
}

// discardLogger drops the messages of fasthttp, which logs each connection that a caller closes.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}
