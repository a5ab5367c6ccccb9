package output

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// columnGap is the number of spaces between two columns of a table.
const columnGap = 2

// Table is a heading and its rows.
type Table struct {
	Heading []string
	Rows    [][]string
}

// Printer writes results to out and progress to errOut.
type Printer struct {
	out      io.Writer
	errOut   io.Writer
	json     bool
	terminal bool
	colors   bool
	drawn    bool
}

// New returns a printer; terminal says whether errOut is one.
func New(out, errOut io.Writer, asJSON, terminal bool) *Printer {
	file, isFile := out.(*os.File)
	return &Printer{out: out, errOut: errOut, json: asJSON, terminal: terminal, colors: isFile && IsTerminal(file)}
}

// IsTerminal reports whether the file is a character device.
func IsTerminal(file *os.File) bool {
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// Terminal reports whether progress is shown.
func (p *Printer) Terminal() bool {
	return p.terminal
}

// Print writes the value as JSON, or else the table.
func (p *Printer) Print(value any, table Table) error {
	p.clearProgress()
	if p.json {
		return p.JSON(value)
	}
	writer := tabwriter.NewWriter(p.out, 0, 0, columnGap, ' ', 0)
	for _, row := range append([][]string{table.Heading}, table.Rows...) {
		if _, err := fmt.Fprintln(writer, strings.Join(row, "\t")); err != nil {
			return errors.WithStack(err)
		}
	}
	return errors.WithStack(writer.Flush())
}

// JSON writes the value as indented JSON.
func (p *Printer) JSON(value any) error {
	encoder := json.NewEncoder(p.out)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	return errors.WithStack(encoder.Encode(value))
}

// Text writes the text as it is, or the value if JSON is wanted.
func (p *Printer) Text(value any, text string) error {
	p.clearProgress()
	if p.json {
		return p.JSON(value)
	}
	_, err := fmt.Fprintln(p.out, strings.TrimRight(text, "\n"))
	return errors.WithStack(err)
}

// Colors of a terminal, by their escape sequences.
const (
	red    = "\x1b[31m"
	green  = "\x1b[32m"
	yellow = "\x1b[33m"
	plain  = "\x1b[0m"
)

// Warning returns the text in the color of warnings, on a terminal.
func (p *Printer) Warning(text string) string { return p.color(yellow, text) }

// Removed returns the text in the color of what is removed, on a terminal.
func (p *Printer) Removed(text string) string { return p.color(red, text) }

// Added returns the text in the color of what is added, on a terminal.
func (p *Printer) Added(text string) string { return p.color(green, text) }

func (p *Printer) color(color, text string) string {
	if !p.colors {
		return text
	}
	return color + text + plain
}

// Progress overwrites the line of progress, if there is a terminal to show it.
func (p *Printer) Progress(format string, arguments ...any) {
	if !p.terminal {
		return
	}
	p.drawn = true
	_, _ = fmt.Fprintf(p.errOut, "\r\x1b[K"+format, arguments...)
}

// Error writes one line that names what is wrong.
func (p *Printer) Error(err error) {
	p.clearProgress()
	_, _ = fmt.Fprintf(p.errOut, "chervilusher: %s\n", strings.ReplaceAll(err.Error(), "\n", " "))
}

func (p *Printer) clearProgress() {
	if p.drawn {
		_, _ = fmt.Fprint(p.errOut, "\r\x1b[K")
		p.drawn = false
	}
}
