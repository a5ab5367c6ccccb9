package common

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sync/atomic"
	"time"
	"unicode/utf8"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
)

// queuedLines bounds the lines that wait for a slow reader; at about 300 bytes a line they take 0.3 MB.
const queuedLines = 1000

const (
	// maxValueBytes bounds one text of a line; errors may quote what another writer has left in a store.
	maxValueBytes = 8 << 10
	// maxLineBytes is the length from which on other values than texts are bounded too.
	maxLineBytes = 64 << 10
)

// Names of the fields that each line has.
const (
	fieldTime    = "time"
	fieldLevel   = "level"
	fieldMessage = "message"
)

// usualLineBytes is the capacity of a new line's buffer.
const usualLineBytes = 384

// sourceField is where the log library puts the place in the code that made an error; the message tells enough.
const sourceField = "source"

var (
	linesDropped = metrics.NewCounter(`chervilusher_log_lines_dropped_total`)
	linesWritten = metrics.NewCounter(`chervilusher_log_lines_total`)
)

// BoundedHandler writes each entry as a line of JSON. It never blocks: lines beyond the rate, or that the reader does not take, are dropped and counted.
type BoundedHandler struct {
	out    io.Writer
	clock  clockwork.Clock
	rate   int64 // lines a second
	second atomic.Int64
	used   atomic.Int64
	lines  chan []byte
}

// NewBoundedHandler returns a handler that writes at most rate lines a second to out while Serve runs.
func NewBoundedHandler(out io.Writer, clock clockwork.Clock, rate int) *BoundedHandler {
	return &BoundedHandler{out: out, clock: clock, rate: int64(rate), lines: make(chan []byte, queuedLines)}
}

// HandleLog implements log.Handler. Warnings and errors may take twice the rate, so that a flood of ordinary lines does not hide them.
func (h *BoundedHandler) HandleLog(entry *log.Entry) error {
	if !h.take(entry.Level) {
		linesDropped.Inc()
		return nil
	}
	select {
	case h.lines <- formatJSON(entry, h.clock.Now()):
	default:
		linesDropped.Inc()
	}
	return nil
}

func (h *BoundedHandler) take(level log.Level) bool {
	second := h.clock.Now().Unix()
	if h.second.Swap(second) != second {
		h.used.Store(0)
	}
	limit := h.rate
	if level >= log.WarnLevel {
		limit *= 2
	}
	return h.used.Add(1) <= limit
}

// Serve writes lines until the context ends and none wait.
func (h *BoundedHandler) Serve(ctx context.Context) {
	for {
		select {
		case line := <-h.lines:
			h.write(line)
		case <-ctx.Done():
			h.flush()
			return
		}
	}
}

func (h *BoundedHandler) flush() {
	for {
		select {
		case line := <-h.lines:
			h.write(line)
		default:
			return
		}
	}
}

func (h *BoundedHandler) write(line []byte) {
	if _, err := h.out.Write(line); err != nil {
		linesDropped.Inc()
		return
	}
	linesWritten.Inc()
}

func formatJSON(entry *log.Entry, now time.Time) []byte {
	line, err := encodeLine(entry, now, false)
	if err == nil && len(line) > maxLineBytes {
		line, err = encodeLine(entry, now, true)
	}
	if err != nil {
		return fmt.Appendf(nil, "{\"level\":\"error\",\"message\":%q}\n", "cannot write a line: "+cut(err.Error()))
	}
	return line
}

// encodeLine writes the fields in the order of their names, if so chosen each as a text that is cut.
func encodeLine(entry *log.Entry, now time.Time, asText bool) ([]byte, error) {
	names := make([]string, 0, len(entry.Fields)+3)
	names = append(names, fieldTime, fieldLevel, fieldMessage)
	for name := range entry.Fields {
		if name != sourceField && !slices.Contains(names[:3], name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	line := make([]byte, 0, usualLineBytes)
	for i, name := range names {
		var err error
		line = append(line, "{,"[min(i, 1)])
		if line, err = appendJSON(line, name); err != nil {
			return nil, err
		}
		value := fieldValue(entry, name, now)
		if asText {
			value = cut(fmt.Sprint(value))
		}
		line = append(line, ':')
		if line, err = appendJSON(line, value); err != nil {
			return nil, err
		}
	}
	return append(line, "}\n"...), nil
}

// fieldValue returns the value of a field as it is to be encoded.
func fieldValue(entry *log.Entry, name string, now time.Time) any {
	switch name {
	case fieldTime:
		return now.UTC().Format(timeFormat)
	case fieldLevel:
		return entry.Level.String()
	case fieldMessage:
		return cut(entry.Message)
	}
	switch typed := entry.Fields[name].(type) {
	case error:
		return cut(typed.Error())
	case string:
		return cut(typed)
	case time.Time:
		return typed.UTC().Format(timeFormat)
	default:
		return typed
	}
}

// appendJSON appends a value as JSON. Printable ASCII without characters that JSON or HTML escape, the usual text, is copied.
func appendJSON(line []byte, value any) ([]byte, error) {
	if text, ok := value.(string); ok && isPlain(text) {
		line = append(line, '"')
		line = append(line, text...)
		return append(line, '"'), nil
	}
	encoded, err := json.Marshal(value)
	return append(line, encoded...), errors.WithStack(err)
}

func isPlain(text string) bool {
	for i := range len(text) {
		if c := text[i]; c < ' ' || c > '~' || c == '"' || c == '\\' || c == '<' || c == '>' || c == '&' {
			return false
		}
	}
	return true
}

// cut shortens a text to maxValueBytes.
func cut(text string) string {
	if len(text) <= maxValueBytes {
		return text
	}
	end := maxValueBytes
	for end > 0 && !utf8.RuneStart(text[end]) {
		end--
	}
	return text[:end] + "..."
}
