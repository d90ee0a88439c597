package document

import (
	"bytes"
	"fmt"
	"reflect"
	"strings"

	"github.com/go-faster/errors"
	"github.com/pelletier/go-toml/v2"
)

// MaxSectionBytes is the maximum size of the text of a section in bytes.
const MaxSectionBytes = 2 << 20

// SectionText is the TOML text of a section and the file that it was read from.
type SectionText struct {
	Section Section
	File    string
	Content []byte
}

// Parse replaces one section of the document by the parsed text. It does not check the
// values, as Validate does. An error in the text is returned as an InvalidError; the
// section is then undefined.
func (d *Document) Parse(section Section, text []byte) error {
	target, err := d.resetSection(section)
	if err != nil {
		return err
	}
	problems := parseSection(target, text)
	for i := range problems {
		problems[i].Section = section
	}
	return problems.orNil()
}

// parseSection parses the text into a section's struct, to which target points, and
// returns the problems found: all unknown keys or, if there are none, the first other
// error.
func parseSection(target any, text []byte) InvalidError {
	if len(text) > MaxSectionBytes {
		return InvalidError{{Key: "(text)", Message: "the section is too long", Allowed: "at most 2 MiB"}}
	}
	lines, err := newLineIndex(text)
	allowed := newSectionSchema(target)
	if err == nil {
		if problems := allowed.unknownKeys(lines); len(problems) > 0 {
			return problems
		}
	}
	decoder := toml.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	err = decoder.Decode(target)
	if schema := reflect.ValueOf(target).Elem().FieldByName("Schema").Int(); err == nil && schema != Schema {
		return InvalidError{{Line: lines.line("schema"), Key: "schema", Message: fmt.Sprintf("schema %d", schema), Allowed: fmt.Sprint(Schema)}}
	}
	var decode *toml.DecodeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &decode):
		line, _ := decode.Position()
		problem := Problem{Line: line, Key: strings.Join(decode.Key(), "."), Message: decode.Error(), Allowed: "TOML 1.0"}
		// The library reports the key without element indexes, and no key at all for a
		// syntax error.
		for path, valueType := range allowed.valueTypes {
			if problem.Key != "" && strings.ReplaceAll(path, "[]", "") == problem.Key {
				problem.Message, problem.Allowed = "the value has another type", valueType
			}
		}
		if problem.Key == "" {
			problem.Key = "(syntax)"
		}
		return InvalidError{problem}
	default:
		return InvalidError{{Line: 1, Key: "(text)", Message: err.Error(), Allowed: "TOML 1.0"}}
	}
}

// Read parses and validates a complete document. The problems are returned as an
// InvalidError, each with its file and line. The values are checked only when every text
// could be parsed and no section occurs twice.
func Read(texts []SectionText) (Document, error) {
	var doc Document
	var problems InvalidError
	seen := map[Section]SectionText{}
	for _, text := range texts {
		if earlier, ok := seen[text.Section]; ok {
			problems = append(problems, Problem{
				Section: text.Section, File: text.File, Line: 1, Key: "(section)",
				Message: "the section is also in " + earlier.File, Allowed: "each section once",
			})
			continue
		}
		seen[text.Section] = text
		err := doc.Parse(text.Section, text.Content)
		var found InvalidError
		switch {
		case errors.As(err, &found):
			problems = append(problems, found...)
		case err != nil:
			return Document{}, err
		}
	}
	if len(problems) == 0 {
		problems = doc.check()
	}
	for i, problem := range problems {
		text := seen[problem.Section]
		if problem.File == "" {
			problems[i].File = text.File
		}
		if problem.Line == 0 {
			// A syntax error cannot occur here, because Parse has reported it.
			lines, _ := newLineIndex(text.Content)
			problems[i].Line = lines.line(problem.Key)
		}
	}
	return doc, problems.orNil()
}
