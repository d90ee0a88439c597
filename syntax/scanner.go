package syntax

import "bytes"

const (
	// lowest and highest are the bounds of a valid status.
	lowest, highest = 100, 599
	// firstFinal is the lowest status of a response that no further one follows.
	firstFinal = 200
	// noContent and notModified are the final statuses of responses without a body.
	noContent, notModified = 204, 304
	// statusDigits is the number of digits of a status.
	statusDigits = 3
	// maxLength stands for all lengths of a body or chunk above it.
	maxLength = 1 << 58
)

// The protocol and the names of fields that determine the framing.
var (
	protocol         = []byte("HTTP/1.1")
	contentLength    = []byte("content-length")
	transferEncoding = []byte("transfer-encoding")
)

// position is a part of a response.
type position int

const (
	// beforeStatusLine is in front of the status line, where fasthttp skips empty lines.
	beforeStatusLine position = iota
	inProtocol
	beforeStatus
	inStatus
	inReason

	// beforeField is at the beginning of a line of a head or trailer, afterReturn behind a CR there.
	beforeField
	afterReturn
	inName
	inValue
	// inLength is in the value of Content-Length.
	inLength

	// inBody is in a body of known length, or in a chunk including the CRLF at its end.
	inBody
	beforeChunkSize
	inChunkSize
	inChunkExtension

	// unchecked is in a body that ends with the connection, or in a response that any parser rejects.
	unchecked
)

// scanner finds the first byte that no well-formed response has. It follows the framing of
// responses, as fasthttp does, to find trailers and the next response. The zero value is in front of
// a response.
type scanner struct {
	position position
	// word holds the beginning of the protocol or of the name of a field, wordLength its whole length.
	word       [len("transfer-encoding")]byte
	wordLength int
	// status is the status, of which digits were read.
	status, digits int
	// isHTTP11 is set if the protocol of the response is HTTP/1.1, the only one with chunks.
	isHTTP11 bool
	// hasLength is set if the response has a Content-Length field, isChunked if it is chunked.
	hasLength, isChunked bool
	// isTrailer is set behind the last chunk.
	isTrailer bool
	// remaining is the Content-Length, the size of a chunk, or what remains of it.
	remaining int
}

// scan takes the next bytes. It skips bodies, names and values in loops and passes the bytes between
// them to next. If one of them is in no well-formed response, it returns false and the
// number of bytes up to and including the first such byte.
func (s *scanner) scan(text []byte) (int, bool) {
	for index := 0; index < len(text); {
		switch s.position {
		case unchecked:
			return len(text), true
		case inBody:
			skipped := min(s.remaining, len(text)-index)
			index += skipped
			if s.remaining -= skipped; s.remaining == 0 {
				s.endBody()
			}
			continue
		case beforeField:
			if isTokenByte[text[index]] {
				s.position = inName
				s.wordLength = 0
				continue
			}
		case inName:
			start := index
			for index < len(text) && isTokenByte[text[index]] {
				index++
			}
			s.appendToWord(text[start:index]...)
			if index == len(text) {
				return index, true
			}
		case beforeChunkSize, inChunkSize:
			for index < len(text) && hexDigits[text[index]] > 0 {
				s.position = inChunkSize
				s.appendToLength(16, hexDigits[text[index]]-1)
				index++
			}
			if index == len(text) {
				return index, true
			}
		case inReason, inValue, inChunkExtension:
			end := bytes.IndexByte(text[index:], '\n')
			if end < 0 {
				return len(text), true
			}
			index += end
		}
		if !s.next(text[index]) {
			return index + 1, false
		}
		index++
	}
	return len(text), true
}

// next takes the next byte, which is neither in a body nor of a name or of the size of a chunk, and
// reports whether a well-formed response may have it.
func (s *scanner) next(char byte) bool {
	switch s.position {
	case beforeStatusLine, inProtocol, beforeStatus, inStatus:
		return s.nextOfStatus(char)
	case beforeField, afterReturn, inName:
		return s.nextOfName(char)
	case inReason, inValue, inLength:
		if char == '\n' {
			s.position = beforeField
		} else if s.position == inLength && char >= '0' && char <= '9' {
			// Parsers reject a length that is no number, and a second one.
			s.appendToLength(10, int(char-'0'))
		}
	case beforeChunkSize, inChunkSize, inChunkExtension:
		s.nextOfChunkSize(char)
	}
	return true
}

// nextOfStatus takes the next byte up to the status. It reports false for the last digit of an invalid
// status.
func (s *scanner) nextOfStatus(char byte) bool {
	if s.position == beforeStatusLine && char != '\r' && char != '\n' {
		s.position = inProtocol
	}
	if s.position == beforeStatus && char != ' ' {
		s.position = inStatus
	}
	switch {
	case s.position == beforeStatusLine:
	case char == '\n':
		// Parsers reject a line without a status.
		s.position = unchecked
	case s.position == inProtocol && char == ' ':
		s.isHTTP11 = s.isWord(protocol)
		s.position = beforeStatus
	case s.position == inProtocol:
		s.appendToWord(char)
	case s.position == inStatus && (char < '0' || char > '9'):
		// Parsers reject a status that is no number.
		s.position = unchecked
	case s.position == inStatus:
		s.status = s.status*10 + int(char-'0')
		if s.digits++; s.digits == statusDigits {
			s.position = inReason
			return s.status >= lowest && s.status <= highest
		}
	}
	return true
}

// nextOfName takes the byte behind the name of a field, or the next one of an empty line, and reports
// whether a well-formed response may have it there.
func (s *scanner) nextOfName(char byte) bool {
	switch {
	case s.position == beforeField && char == '\r':
		s.position = afterReturn
	case s.position == afterReturn && char == '\n':
		s.endHead()
	case s.position == inName && char == ':':
		s.beginValue()
	default:
		return false
	}
	return true
}

// beginValue begins the value of a field. In a trailer, it does not change the framing.
func (s *scanner) beginValue() {
	s.position = inValue
	switch {
	case s.isTrailer:
	case s.isWord(contentLength):
		s.hasLength = true
		s.position = inLength
	case s.isHTTP11 && s.isWord(transferEncoding):
		// Parsers reject all other codings than chunked.
		s.isChunked = true
	}
}

// nextOfChunkSize takes the byte behind the size of a chunk, or the next one of its line.
func (s *scanner) nextOfChunkSize(char byte) {
	switch {
	case s.position == beforeChunkSize:
		// Parsers reject a chunk without a size.
		s.position = unchecked
	case char != '\n':
		s.position = inChunkExtension
	case s.remaining == 0:
		s.isTrailer = true
		s.position = beforeField
	default:
		s.remaining += len("\r\n")
		s.position = inBody
	}
}

// endHead goes on behind the empty line at the end of a head or trailer.
func (s *scanner) endHead() {
	hasBody := s.status >= firstFinal && s.status != noContent && s.status != notModified
	switch {
	case s.isTrailer, !hasBody:
		*s = scanner{}
	case s.isChunked:
		s.beginChunk()
	case !s.hasLength:
		s.position = unchecked
	case s.remaining == 0:
		*s = scanner{}
	default:
		s.position = inBody
	}
}

// endBody goes on behind a body of known length, or behind a chunk.
func (s *scanner) endBody() {
	if s.isChunked {
		s.beginChunk()
	} else {
		*s = scanner{}
	}
}

// beginChunk goes on in front of a chunk.
func (s *scanner) beginChunk() {
	s.position = beforeChunkSize
	s.remaining = 0
}

// appendToLength appends a digit in a base to the number that is read into remaining.
func (s *scanner) appendToLength(base, digit int) {
	s.remaining = min(s.remaining*base+digit, maxLength)
}

// appendToWord appends to the protocol or to the name of a field.
func (s *scanner) appendToWord(text ...byte) {
	if s.wordLength < len(s.word) {
		copy(s.word[s.wordLength:], text)
	}
	s.wordLength += len(text)
}

// isWord reports whether the protocol or the name of the field is the given one, in any case.
func (s *scanner) isWord(word []byte) bool {
	return s.wordLength == len(word) && bytes.EqualFold(s.word[:s.wordLength], word)
}

// isTokenByte holds the bytes that a token consists of.
var isTokenByte = func() (table [256]bool) {
	for _, char := range []byte("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ") {
		table[char] = true
	}
	return table
}()

// hexDigits holds the values of hexadecimal digits, plus one, and 0 for all other bytes.
var hexDigits = func() (table [256]int) {
	for value, char := range []byte("0123456789abcdef") {
		table[char] = value + 1
		table[bytes.ToUpper([]byte{char})[0]] = value + 1
	}
	return table
}()
