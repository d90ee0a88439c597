package document

import (
	"fmt"
	"strings"
)

// Problem is one error in the text or the values of a document.
type Problem struct {
	Section Section `json:"section"`
	// File is the file that the section was read from; when it is empty, messages use
	// the name of the section instead.
	File string `json:"file"`
	// Line is the line number in the file, from 1, or 0 when the text is not available.
	Line int `json:"line"`
	// Key is the path of the key, as in models[0].live. For an error that concerns no
	// key it is a word in parentheses, as in (syntax).
	Key     string `json:"key"`
	Message string `json:"message"`
	// Allowed describes the values that are allowed instead.
	Allowed string `json:"allowed"`
}

// String formats the problem as one line.
func (p Problem) String() string {
	file := p.File
	if file == "" {
		file = string(p.Section)
	}
	if p.Line > 0 {
		file = fmt.Sprintf("%s:%d", file, p.Line)
	}
	return fmt.Sprintf("%s: %s: %s; allowed: %s", file, p.Key, p.Message, p.Allowed)
}

// maxProblems limits the problems in an error message, each of which takes one line,
// because one spelling mistake in every element of a section would give thousands of
// lines.
const maxProblems = 20

// InvalidError lists the problems that were found in a document or a section. It is never
// empty when it is returned as an error.
type InvalidError []Problem

// Error implements error.
func (p InvalidError) Error() string {
	var lines []string
	for i, problem := range p {
		if i == maxProblems {
			lines = append(lines, fmt.Sprintf("and %d more", len(p)-i))
			break
		}
		lines = append(lines, problem.String())
	}
	return strings.Join(lines, "\n")
}

// orNil returns the problems as an error, nil when there are none.
func (p InvalidError) orNil() error {
	if len(p) == 0 {
		return nil
	}
	return p
}
