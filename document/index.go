package document

import (
	"fmt"
	"regexp"
	"slices"
	"sort"

	"github.com/go-faster/errors"
	"github.com/pelletier/go-toml/v2/unstable"
)

// lineIndex holds the line of every key of a TOML text. Keys are identified by their
// path, as in models[0].versions[1].digest.
type lineIndex struct {
	// paths are the paths of all keys in the order of the text.
	paths []string
	// lines are the line numbers by path, from 1.
	lines map[string]int

	parser unstable.Parser
	// newlineOffsets are the offsets of the line breaks in the text.
	newlineOffsets []int
	// tableCounts is the number of elements so far of each array of tables, by path.
	tableCounts map[string]int
}

// newLineIndex parses the text up to its end or its first syntax error. After an error
// the returned index holds the keys before it.
func newLineIndex(text []byte) (*lineIndex, error) {
	l := &lineIndex{lines: map[string]int{}, tableCounts: map[string]int{}}
	for offset, char := range text {
		if char == '\n' {
			l.newlineOffsets = append(l.newlineOffsets, offset)
		}
	}
	l.parser.Reset(text)
	table := ""
	for l.parser.NextExpression() {
		node := l.parser.Expression()
		switch node.Kind {
		case unstable.Table, unstable.ArrayTable:
			table = l.addTable(node)
		case unstable.KeyValue:
			l.addKeyValue(table, node)
		default:
		}
	}
	if err := l.parser.Error(); err != nil {
		return l, errors.Wrap(err, "read TOML")
	}
	return l, nil
}

// line returns the line of the key with the path. For an array of tables that is the line
// of the first element, and for a missing key the line of its closest parent, or 1 if it
// has none.
func (l *lineIndex) line(path string) int {
	for path != "" {
		if line, ok := l.lines[path]; ok {
			return line
		}
		if line, ok := l.lines[path+"[0]"]; ok {
			return line
		}
		path = parentPath(path)
	}
	return 1
}

// addKey adds the line of a key, unless the path is known already.
func (l *lineIndex) addKey(path string, node *unstable.Node) {
	if _, ok := l.lines[path]; ok {
		return
	}
	offset := int(node.Raw.Offset)
	l.lines[path] = 1 + sort.SearchInts(l.newlineOffsets, offset)
	l.paths = append(l.paths, path)
}

// addTable adds the keys of a table header, as in [[models.versions]], and returns the
// path of the table.
func (l *lineIndex) addTable(node *unstable.Node) string {
	path := ""
	for keys := node.Key(); keys.Next(); {
		path = joinPath(path, string(keys.Node().Data))
		if node.Kind == unstable.ArrayTable && keys.IsLast() {
			l.tableCounts[path]++
		}
		if count := l.tableCounts[path]; count > 0 {
			path = fmt.Sprintf("%s[%d]", path, count-1)
		}
		l.addKey(path, keys.Node())
	}
	return path
}

// addKeyValue adds the keys of a key-value pair in a table and the keys in the value.
func (l *lineIndex) addKeyValue(table string, node *unstable.Node) {
	path := table
	var last *unstable.Node
	for keys := node.Key(); keys.Next(); {
		last = keys.Node()
		path = joinPath(path, string(last.Data))
		l.addKey(path, last)
	}
	l.addValue(path, last, node.Value())
}

// addValue adds the keys and elements within a value. The elements of an array get the
// line of their key.
func (l *lineIndex) addValue(path string, key, value *unstable.Node) {
	switch value.Kind {
	case unstable.InlineTable:
		for children := value.Children(); children.Next(); {
			l.addKeyValue(path, children.Node())
		}
	case unstable.Array:
		count := 0
		for children := value.Children(); children.Next(); count++ {
			element := fmt.Sprintf("%s[%d]", path, count)
			l.addKey(element, key)
			l.addValue(element, key, children.Node())
		}
	default:
	}
}

// joinPath appends a key to a path.
func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// parentPath returns the path without its last part, which is a key or an element index.
func parentPath(path string) string {
	for i, char := range slices.Backward([]byte(path)) {
		if char == '.' || char == '[' {
			return path[:i]
		}
	}
	return ""
}

// elementIndexes matches the element indexes in a path, as in models[0].
var elementIndexes = regexp.MustCompile(`\[\d+\]`)

// pathPattern returns the path without the numbers of its element indexes.
func pathPattern(path string) string { return elementIndexes.ReplaceAllString(path, "[]") }
