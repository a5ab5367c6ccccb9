package common

import (
	"bytes"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
)

// timeFormat writes the time of a line to the millisecond.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// LineHandler writes each entry as one line of plain text: time, level, message, and the fields in the order of their names.
type LineHandler struct {
	mutex sync.Mutex
	out   io.Writer
}

// NewLineHandler returns a handler that writes to out.
func NewLineHandler(out io.Writer) *LineHandler {
	return &LineHandler{out: out}
}

// HandleLog implements log.Handler.
func (h *LineHandler) HandleLog(entry *log.Entry) error {
	var line bytes.Buffer
	at := entry.Timestamp.UTC().Format(timeFormat)
	fmt.Fprintf(&line, "%s %-5s %s", at, strings.ToUpper(entry.Level.String()), escape(entry.Message))
	names := entry.Fields.Names()
	slices.Sort(names)
	for _, name := range names {
		fmt.Fprintf(&line, " %s=%s", name, formatField(entry.Fields.Get(name)))
	}
	line.WriteByte('\n')
	h.mutex.Lock()
	defer h.mutex.Unlock()
	_, err := h.out.Write(line.Bytes())
	return err
}

// formatField quotes a value that would not read as one word.
func formatField(value any) string {
	if at, ok := value.(time.Time); ok {
		value = at.UTC().Format(timeFormat)
	}
	text := fmt.Sprint(value)
	if text == "" || strings.ContainsAny(text, " \"=") || escape(text) != text {
		return strconv.Quote(text)
	}
	return text
}

// escape keeps a line one line.
func escape(text string) string {
	return strings.NewReplacer("\n", `\n`, "\r", `\r`, "\x1b", `\e`).Replace(text)
}
