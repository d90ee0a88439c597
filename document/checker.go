package document

import (
	"encoding/hex"
	"fmt"
	"math"
	"path"
	"regexp"
	"strings"
)

// checker collects the problems of one section. The argument key of its methods is the
// path of the checked key.
type checker struct {
	section  Section
	problems InvalidError
}

// addProblem adds a problem at the key. allowed describes the values that are allowed;
// the format and the arguments give the message.
func (c *checker) addProblem(key, allowed, format string, arguments ...any) {
	c.problems = append(c.problems, Problem{
		Section: c.section, Key: key, Message: fmt.Sprintf(format, arguments...), Allowed: allowed,
	})
}

// require adds a problem as addProblem does, unless the condition is true.
func (c *checker) require(condition bool, key, allowed, format string, arguments ...any) {
	if !condition {
		c.addProblem(key, allowed, format, arguments...)
	}
}

// namePattern matches valid names, which are part of paths, headers and metrics.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?$`)

// allowedName describes namePattern in problem messages.
const allowedName = "1 to 63 of a-z, 0-9, '.', '_' and '-', first and last a letter or digit"

// checkName checks that the name is valid.
func (c *checker) checkName(key, name string) {
	c.require(namePattern.MatchString(name), key, allowedName, "name %.80q", name)
}

// checkUnique adds a problem when the name was seen before, and otherwise adds the name
// to seen, which holds the key of each name.
func (c *checker) checkUnique(seen map[string]string, key, name string) {
	if earlier, ok := seen[name]; ok {
		c.addProblem(key, "a name that is used once", "%.80q is also at %s", name, earlier)
		return
	}
	seen[name] = key
}

// checkHex checks that the text is the lower-case hex form of the given number of bytes.
// The description names the value in the problem message.
func (c *checker) checkHex(key, text string, bytes int, description string) {
	data, err := hex.DecodeString(text)
	c.require(err == nil && len(data) == bytes && strings.ToLower(text) == text, key,
		fmt.Sprintf("%d lower-case hex digits", 2*bytes), "%.80q is no %s", text, description)
}

// checkPath checks that the text is a clean relative path at the origin of weights.
func (c *checker) checkPath(key, text string) {
	c.require(text != "" && path.Clean("/"+text) == "/"+text, key,
		"a relative path without empty parts, '.' and '..'", "path %.80q", text)
}

// checkRange checks that the value is between low and high, inclusive.
func (c *checker) checkRange(key string, value, low, high int) {
	c.require(value >= low && value <= high, key, fmt.Sprintf("%d to %d", low, high), "value %d", value)
}

// checkAmount checks that the value is finite and not negative; 0 is allowed.
func (c *checker) checkAmount(key string, value float64) {
	c.require(value >= 0 && !math.IsInf(value, 0), key, "a number from 0", "value %v", value)
}

// checkRank checks that the rank exists.
func (c *checker) checkRank(key string, rank RankName) {
	for _, known := range RankNames() {
		if rank == known {
			return
		}
	}
	c.addProblem(key, allowedRanks, "rank %.80q", rank)
}

// allowedRanks lists the ranks for problem messages.
const allowedRanks = "urgent, normal, overnight"

// allowedSections lists the sections for problem messages.
func allowedSections() string {
	var list []string
	for _, section := range Sections() {
		list = append(list, string(section))
	}
	return strings.Join(list, ", ")
}
