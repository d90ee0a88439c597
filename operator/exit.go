package operator

import "github.com/go-faster/errors"

// Exit codes of the operators' client.
const (
	ExitOK = 0
	// ExitFailed is any failure without a code of its own.
	ExitFailed = 1
	// ExitInvalid means that an argument or the configuration document is invalid.
	ExitInvalid = 2
	// ExitUnavailable means that the log or the entries, whichever the command needs, did
	// not give the required response. Nothing was published.
	ExitUnavailable = 3
	// ExitConflict means that the edit is not based on the current revision of the
	// section: another edit of the section is earlier in the log.
	ExitConflict = 4
	// ExitOutcomeUnknown means that the record of the edit may have been appended to the
	// log, but was not found there before the timeout.
	ExitOutcomeUnknown = 5
	// ExitNotConverged means that an edit was accepted or a drain was requested, but that
	// before the timeout no entry reported that every VM had applied the edit, or that
	// the VM was drained.
	ExitNotConverged = 6
	// ExitRefused means that the edit is not signed by a key that owns the section.
	ExitRefused = 7
)

// exitCodesHelp is the part of the help text that explains the exit codes.
const exitCodesHelp = `Exit codes:
0  done
1  failed
2  wrong argument, or the document is not valid
3  the log or the entries are unavailable; nothing was published
4  conflict: another edit of the section is earlier in the log
5  unknown: the record may have been appended; check the history
6  accepted, but not seen in force on every VM before the timeout
7  refused: the key does not own the section`

// ExitError is an error with the exit code that the process returns for it.
type ExitError struct {
	Code  int
	Cause error
}

// Error implements error.
func (e *ExitError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *ExitError) Unwrap() error { return e.Cause }

// withExitCode wraps an error with an exit code.
func withExitCode(code int, cause error) error { return &ExitError{Code: code, Cause: cause} }

// exitErrorf returns a formatted error with an exit code.
func exitErrorf(code int, format string, arguments ...any) error {
	return withExitCode(code, errors.Errorf(format, arguments...))
}

// ExitCode returns the exit code for the result of a command: ExitOK if err is nil, the
// code of an ExitError, and ExitFailed for any other error.
func ExitCode(err error) int {
	var exit *ExitError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &exit):
		return exit.Code
	default:
		return ExitFailed
	}
}
