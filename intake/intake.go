// Package intake bounds what a daemon accepts from the peers of an HTTP server: the open connections,
// the time for reading a request, and the memory of request bodies.
//
// A Listener closes connections in favour of new ones when there are as many as it may have: first
// those on which a request has begun and does not arrive, or none has begun, and idle ones while these
// are more. A connection whose request is being served is never closed. If all are served, a new
// connection is closed at once, so that its peer can use another daemon. Package budget decides which
// bodies are dropped when the memory is short; Bodies reads the bodies.
//
//	listener := intake.New(inner, intake.Settings{Connections: 1000}, log, scope)
//	err := listener.Serve(&fasthttp.Server{Handler: handle})
package intake

import (
	"time"

	"github.com/fuchsiarouter/fuchsiarouter/tcp"
)

// reservedDescriptors is the number of the descriptors of a process that are for files.
const reservedDescriptors = 200

// Limits are what a process may take of its machine.
type Limits struct {
	// MemoryBytes is the memory of the process, 0 if it is not limited, and Descriptors the number of
	// descriptors that its platform grants it, 0 if that is not known.
	MemoryBytes, Descriptors int
}

// sockets returns the number of sockets that the process may open.
func (l Limits) sockets() int {
	descriptors := tcp.DescriptorLimit()
	if l.Descriptors > 0 {
		descriptors = min(descriptors, l.Descriptors)
	}
	return descriptors - reservedDescriptors
}

// Connections returns the number of connections, at least one, that fit into the parts of the sockets
// and of the memory, if each takes the given number of bytes.
func (l Limits) Connections(socketShare, memoryShare float64, bytes int) int {
	count := int(socketShare * float64(l.sockets()))
	if l.MemoryBytes > 0 {
		count = min(count, int(memoryShare*float64(l.MemoryBytes))/bytes)
	}
	return max(1, count)
}

// Timeouts are the times within which a peer must send. 0 means that there is no limit.
type Timeouts struct {
	// Unused is the time from the start of a connection to the first byte, Head that from the first
	// byte of a request to the end of its head, and Idle that from a response to the next request.
	Unused, Head, Idle time.Duration
}

// Settings configures a Listener.
type Settings struct {
	// Connections is the number of open connections, 0 for no limit.
	Connections int
	// ReceiveBytes is the size of the receive buffer of each connection. With 0, the operating system
	// decides. What has arrived and is not read counts towards the memory of a process on some
	// platforms.
	ReceiveBytes int
	// HasMessages says that the connections are not served by Serve, and carry messages: one is in use
	// while bytes arrive on it.
	HasMessages bool
	// WriteTimeout is the time within which a peer must read each part of a response. 0 means that
	// there is no limit.
	WriteTimeout time.Duration
	// Timeouts returns the current timeouts. It may be nil.
	Timeouts func() Timeouts
}
