// Package syntax rejects HTTP responses that are not well-formed.
//
// fasthttp takes any three digits for a status, and 000 for 200, its zero value. In field names it
// accepts blanks, which it removes in front of the colon, so that such a field may even set the
// framing. Neither can be told after a head was read. A Reader checks the bytes of responses before
// the parser gets them. It requires that
//   - a status is from 100 to 599,
//   - a field name, in the head of an informational or final response or in a trailer, is a token
//     (RFC 9110, section 5.6.2) with the colon directly behind it, which excludes folded lines,
//   - the line that ends a head or a trailer is a CRLF.
//
// All other errors are left to the parser. The clients of this project read responses through a
// Reader or a Conn.
package syntax

import (
	"io"
	"net"

	"github.com/go-faster/errors"
)

// ErrInvalid reports a response that is not well-formed.
var ErrInvalid = errors.New("the response has an invalid status or field name")

// Reader reads the responses on a connection, one after the other, and checks them. It ends with
// ErrInvalid behind the first byte that no well-formed response has, so that a parser never gets the
// whole head or trailer with that byte.
type Reader struct {
	source    io.Reader
	scanner   scanner
	isInvalid bool
}

// NewReader returns a Reader of a source at the beginning of a response.
func NewReader(source io.Reader) *Reader { return &Reader{source: source} }

// Read implements io.Reader.
func (r *Reader) Read(buffer []byte) (int, error) {
	if r.isInvalid {
		return 0, ErrInvalid
	}
	n, err := r.source.Read(buffer)
	if scanned, ok := r.scanner.scan(buffer[:n]); !ok {
		r.isInvalid = true
		return scanned, nil
	}
	return n, err
}

// Conn is the connection of a client that writes a request and then reads its response, one at a
// time. It reads through a Reader.
type Conn struct {
	net.Conn
	reader *Reader
	// hasRead is set when bytes were read since the last write.
	hasRead bool
}

// NewConn returns a Conn for a connection on which nothing was sent.
func NewConn(conn net.Conn) *Conn { return &Conn{Conn: conn, reader: NewReader(conn)} }

// Write implements net.Conn. After a read, it begins the next request: the response to it is the next
// one, even if the client has not read the response before as the Reader expects, as with HEAD.
func (c *Conn) Write(buffer []byte) (int, error) {
	if c.hasRead {
		c.hasRead = false
		c.reader.scanner = scanner{}
	}
	return c.Conn.Write(buffer)
}

// Read implements net.Conn.
func (c *Conn) Read(buffer []byte) (int, error) {
	n, err := c.reader.Read(buffer)
	c.hasRead = c.hasRead || n > 0
	return n, err
}
