package settings

import (
	"reflect"
	"strings"
)

// tomlKey returns the key of a field in the TOML file, or the name of the field if it has no
// toml tag.
func tomlKey(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("toml"), ",")
	if name == "" {
		return field.Name
	}
	return name
}
