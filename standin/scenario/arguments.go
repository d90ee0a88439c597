package scenario

import (
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// arguments are the arguments of a script command: options have the form key=value, all
// others are operands.
type arguments struct {
	operands []string
	options  map[string]string
	// knownOptions holds the keys that the command has asked for, whether given or not, so
	// that check can report the others.
	knownOptions map[string]bool
	// err is the first error of an option with an invalid value.
	err error
}

// parseArguments separates the arguments of a script command, without the command's name,
// into operands and options.
func parseArguments(args []string) arguments {
	parsed := arguments{options: map[string]string{}, knownOptions: map[string]bool{}}
	for _, arg := range args {
		if key, value, ok := strings.Cut(arg, "="); ok {
			parsed.options[key] = value
		} else {
			parsed.operands = append(parsed.operands, arg)
		}
	}
	return parsed
}

// operand returns the operand with the index i, counted from 0, or an empty string if there
// are fewer.
func (a *arguments) operand(i int) string {
	if i < len(a.operands) {
		return a.operands[i]
	}
	return ""
}

// stringOption returns the value of an option, or the default if it is not given.
func (a *arguments) stringOption(key, defaultValue string) string {
	a.knownOptions[key] = true
	if value, ok := a.options[key]; ok {
		return value
	}
	return defaultValue
}

// intOption returns the value of an option, or the default if it is not given. An invalid
// value is reported by check.
func (a *arguments) intOption(key string, defaultValue int) int {
	value, err := strconv.Atoi(a.stringOption(key, strconv.Itoa(defaultValue)))
	a.recordError(key, err)
	return value
}

// durationOption returns the value of an option, or the default if it is not given. An
// invalid value is reported by check.
func (a *arguments) durationOption(key string, defaultValue time.Duration) time.Duration {
	value, err := time.ParseDuration(a.stringOption(key, defaultValue.String()))
	a.recordError(key, err)
	return value
}

// recordError keeps the error of an option for check, unless there is an earlier one.
func (a *arguments) recordError(key string, err error) {
	if err != nil && a.err == nil {
		a.err = errors.Wrap(err, key)
	}
}

// check returns an error if an option has an invalid value, or if an option was given that
// the command has not asked for. Call it after the command has read all its options.
func (a *arguments) check() error {
	if a.err != nil {
		return a.err
	}
	for key := range a.options {
		if !a.knownOptions[key] {
			return errors.Errorf("unknown option %q", key)
		}
	}
	return nil
}
