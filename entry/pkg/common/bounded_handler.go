package common

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sync/atomic"
	"time"
	"unicode/utf8"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
)

// queuedLines bounds the lines that wait for a slow reader; at about 300 bytes a line they take 0.3 MB.
const queuedLines = 1000

const (
	// maxValueBytes bounds one text of a line; errors may quote what another writer has left in a store.
	maxValueBytes = 8 << 10
	// maxLineBytes is the length from which on other values than texts are bounded too.
	maxLineBytes = 64 << 10
)

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
	fields := make(map[string]any, len(entry.Fields)+3)
	for name, value := range entry.Fields {
		if name == sourceField {
			continue
		}
		switch typed := value.(type) {
		case error:
			fields[name] = cut(typed.Error())
		case string:
			fields[name] = cut(typed)
		case time.Time:
			fields[name] = typed.UTC().Format(timeFormat)
		default:
			fields[name] = value
		}
	}
	fields["time"] = now.UTC().Format(timeFormat)
	fields["level"] = entry.Level.String()
	fields["message"] = cut(entry.Message)
	line := encodeLine(fields)
	if len(line) <= maxLineBytes {
		return line
	}
	for name, value := range fields {
		fields[name] = cut(fmt.Sprint(value))
	}
	return encodeLine(fields)
}

func encodeLine(fields map[string]any) []byte {
	var line bytes.Buffer
	if err := json.NewEncoder(&line).Encode(fields); err != nil {
		return fmt.Appendf(nil, "{\"level\":\"error\",\"message\":%q}\n", "cannot write a line: "+cut(err.Error()))
	}
	return line.Bytes()
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
