// Package syntax rejects HTTP responses whose status is not from 100 to 599.
//
// fasthttp takes any three digits for a status, and 000 for 200, its zero value, so the status
// cannot be checked after a head was read. The clients of this project read heads through Check or
// Conn.
package syntax

import (
	"bufio"
	"net"

	"github.com/go-faster/errors"
)

const (
	// lowest and highest are the bounds of a valid status.
	lowest, highest = 100, 599
	// firstFinal is the lowest status of a response that no further one follows.
	firstFinal = 200
	// digits is the number of digits of a status.
	digits = 3
	// invalidDigit replaces the last digit of an invalid status, so that fasthttp rejects the head.
	invalidDigit = 'x'
)

// ErrInvalid reports a response with an invalid status.
var ErrInvalid = errors.New("the status of the response is not from 100 to 599")

// position is a part of the head of a response.
type position int

const (
	// beforeLine is before the status line, where fasthttp skips empty lines.
	beforeLine position = iota
	inProtocol
	beforeStatus
	inStatus
	// afterStatus is behind the status.
	afterStatus
)

// scanner finds the status of a head, byte by byte.
type scanner struct {
	position position
	status   int
	digits   int
}

// next takes the next byte and reports whether it is the last digit of a status.
func (s *scanner) next(char byte) bool {
	switch {
	case s.position == beforeLine && char != '\r' && char != '\n':
		s.position = inProtocol
	case s.position == inProtocol && char == ' ':
		s.position = beforeStatus
	case s.position == beforeStatus && char != ' ':
		s.position = inStatus
	}
	switch {
	case s.position >= inProtocol && s.position <= beforeStatus && char == '\n':
		// fasthttp rejects a line without a status.
		s.position = afterStatus
	case s.position == inStatus && (char < '0' || char > '9'):
		// fasthttp rejects a status that is no number of three digits.
		s.position = afterStatus
	case s.position == inStatus:
		s.status = s.status*10 + int(char-'0')
		if s.digits++; s.digits == digits {
			s.position = afterStatus
			return true
		}
	}
	return false
}

// isValid reports whether the status that was found is valid.
func (s *scanner) isValid() bool { return s.status >= lowest && s.status <= highest }

// Check waits until the reader has buffered the status of the response that begins there, and
// returns ErrInvalid if it is not valid. It consumes nothing. Other errors in the status line are
// left to the parser of the head.
func Check(reader *bufio.Reader) error {
	var status scanner
	for scanned := 0; scanned < reader.Size(); {
		if _, err := reader.Peek(scanned + 1); err != nil {
			return errors.Wrap(err, "read status line")
		}
		buffered, _ := reader.Peek(reader.Buffered())
		for _, char := range buffered[scanned:] {
			switch {
			case status.next(char) && !status.isValid():
				return ErrInvalid
			case status.position == afterStatus:
				return nil
			}
		}
		scanned = len(buffered)
	}
	return nil
}

// Conn is the connection of a client that writes a request and then reads its response, one at a
// time. It changes an invalid status into one that fasthttp rejects like any other bytes that are
// not a response.
type Conn struct {
	net.Conn
	// hasRead is set when bytes were read since the last write.
	hasRead bool
	head    scanner
	// isPast is set once the status of the final response was read.
	isPast bool
	// lineBytes is the length of the current line of an informational response, without its end.
	lineBytes int
}

// NewConn returns a Conn for a connection on which nothing was sent.
func NewConn(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// Write implements net.Conn. After a read, it begins the next request.
func (c *Conn) Write(buffer []byte) (int, error) {
	if c.hasRead {
		*c = Conn{Conn: c.Conn}
	}
	return c.Conn.Write(buffer)
}

// Read implements net.Conn.
func (c *Conn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.hasRead = c.hasRead || n > 0
	for index := 0; index < n && !c.isPast; index++ {
		c.scan(&buffer[index])
	}
	return n, err
}

// scan takes the next byte of a head and changes it if it is the last digit of an invalid status.
func (c *Conn) scan(char *byte) {
	if c.head.position != afterStatus {
		if c.head.next(*char) && !c.head.isValid() {
			*char = invalidDigit
		}
		c.isPast = c.head.position == afterStatus && (c.head.status < lowest || c.head.status >= firstFinal)
		c.lineBytes = 1
		return
	}
	// The head of an informational response ends with an empty line.
	switch *char {
	case '\r':
	case '\n':
		if c.lineBytes == 0 {
			c.head = scanner{}
		}
		c.lineBytes = 0
	default:
		c.lineBytes++
	}
}
