package operator

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/go-faster/errors"
)

// printJSON writes one JSON value on a line.
func printJSON(out io.Writer, value any) error {
	if err := json.NewEncoder(out).Encode(value); err != nil {
		return errors.Wrap(err, "write result")
	}
	return nil
}

// printTable writes rows of cells with aligned columns. The first row holds the headings.
func printTable(out io.Writer, rows [][]string) error {
	writer := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		if _, err := fmt.Fprintln(writer, strings.Join(row, "\t")); err != nil {
			return errors.Wrap(err, "write result")
		}
	}
	if err := writer.Flush(); err != nil {
		return errors.Wrap(err, "write result")
	}
	return nil
}

// progress displays what a command that waits for a condition has seen so far. On a
// terminal it rewrites a single line; otherwise it writes one line per change, so that a
// log file stays readable.
type progress struct {
	out io.Writer
	// terminal is set if out is a terminal.
	terminal bool
	// last is the text that was displayed last.
	last string
}

// newProgress returns a progress display that writes to out.
func newProgress(out io.Writer) *progress {
	p := &progress{out: out}
	if file, ok := out.(*os.File); ok {
		info, err := file.Stat()
		p.terminal = err == nil && info.Mode()&os.ModeCharDevice != 0
	}
	return p
}

// show displays a text, unless it is already displayed. On a terminal, spaces cover the
// rest of a longer previous text.
func (p *progress) show(format string, arguments ...any) {
	text := fmt.Sprintf(format, arguments...)
	if text == p.last {
		return
	}
	if p.terminal {
		_, _ = fmt.Fprintf(p.out, "\r%-*s", len(p.last), text)
	} else {
		_, _ = fmt.Fprintln(p.out, text)
	}
	p.last = text
}

// end finishes the current line on a terminal, so that its text stays visible.
func (p *progress) end() {
	if p.terminal && p.last != "" {
		_, _ = fmt.Fprintln(p.out)
	}
}
