package document

import (
	"reflect"
	"slices"
	"strings"
)

// sectionSchema describes the keys that a section may hold. Paths have no element
// indexes, as in models[].versions[].name.
type sectionSchema struct {
	// valueTypes describes the type of the value at each path in words, as in "a list".
	valueTypes map[string]string
	// tableKeys are the keys of the table at each path, in the order of the struct
	// fields.
	tableKeys map[string][]string
}

// newSectionSchema derives the schema from the fields and tags of a section's struct.
func newSectionSchema(section any) sectionSchema {
	s := sectionSchema{valueTypes: map[string]string{}, tableKeys: map[string][]string{}}
	s.addType("", reflect.TypeOf(section).Elem())
	return s
}

// addType adds to the schema that the value at the path has the given Go type. It does
// the same for the fields of a struct and the elements of a slice.
func (s sectionSchema) addType(path string, goType reflect.Type) {
	switch goType.Kind() {
	case reflect.Struct:
		s.valueTypes[path] = "a table"
		for field := range goType.Fields() {
			key, _, _ := strings.Cut(field.Tag.Get("toml"), ",")
			s.tableKeys[path] = append(s.tableKeys[path], key)
			s.addType(joinPath(path, key), field.Type)
		}
	case reflect.Slice:
		s.valueTypes[path] = "a list"
		s.addType(path+"[]", goType.Elem())
	case reflect.String:
		s.valueTypes[path] = "a string"
	case reflect.Bool:
		s.valueTypes[path] = "true or false"
	case reflect.Float64:
		s.valueTypes[path] = "a number"
	default:
		s.valueTypes[path] = "a whole number"
	}
}

// unknownKeys returns a problem for every key that the schema does not have, with the keys
// that its table may hold. Keys within an unknown key, or within a value that must not be a
// table, are not reported. Keys are compared case-sensitively, which the TOML library does
// not do.
func (s sectionSchema) unknownKeys(lines *lineIndex) InvalidError {
	var problems InvalidError
	for _, path := range lines.paths {
		table := pathPattern(parentPath(path))
		if _, ok := s.valueTypes[pathPattern(path)]; ok {
			continue
		}
		if _, ok := s.tableKeys[table]; !ok {
			continue
		}
		problems = append(problems, Problem{
			Line: lines.line(path), Key: path, Message: "unknown key",
			Allowed: strings.Join(s.tableKeys[table], ", "),
		})
	}
	return problems
}

// SectionKeys returns the sorted paths of all keys that a section may hold, as in
// models[].versions[].name, and nil for an unknown section.
func SectionKeys(section Section) []string {
	var doc Document
	target, err := doc.resetSection(section)
	if err != nil {
		return nil
	}
	schema := newSectionSchema(target)
	var keys []string
	for path := range schema.valueTypes {
		if path != "" && path[len(path)-1] != ']' {
			keys = append(keys, path)
		}
	}
	slices.Sort(keys)
	return keys
}
