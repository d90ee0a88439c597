package engine

import "bytes"

// findModelValue returns the position of the value of the field "model" in a JSON object,
// so that the value can be replaced without decoding the rest: body[start:end] is the
// string with its quotes. It returns false if there is no such field, if the value isn't a
// string, or if the engine might take another field for it: the body has the field twice or
// in other letter case, or a field name contains escapes.
func findModelValue(body []byte) (start, end int, ok bool) {
	depth := 0
	for i := 0; i < len(body); i++ {
		switch body[i] {
		case '{', '[':
			depth++
		case '}', ']':
			depth--
		case '"':
			after := skipString(body, i)
			colon := skipSpace(body, after)
			if depth != 1 || colon >= len(body) || body[colon] != ':' {
				i = after - 1
				continue
			}
			name := body[i+1 : after-1]
			i = colon
			if bytes.IndexByte(name, '\\') >= 0 {
				return 0, 0, false
			}
			if !bytes.EqualFold(name, []byte("model")) {
				continue
			}
			value := skipSpace(body, colon+1)
			if ok || string(name) != "model" || value >= len(body) || body[value] != '"' {
				return 0, 0, false
			}
			start, end, ok = value, skipString(body, value), true
			i = end - 1
		}
	}
	return start, end, ok && depth == 0
}

// skipString returns the index after the JSON string whose opening quote is at i, or the
// length of the body if the string isn't closed.
func skipString(body []byte, i int) int {
	for i++; i < len(body); i++ {
		switch body[i] {
		case '\\':
			i++
		case '"':
			return i + 1
		}
	}
	return len(body)
}

// skipSpace returns the index of the first byte from i on that isn't JSON white space.
func skipSpace(body []byte, i int) int {
	for i < len(body) && (body[i] == ' ' || body[i] == '\t' || body[i] == '\n' || body[i] == '\r') {
		i++
	}
	return i
}
