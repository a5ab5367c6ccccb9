package inflow

import (
	"bytes"
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// ErrTooLarge, ErrSlow and ErrCrowded tell why a body was not read: it is over its limit, its client sends too slowly, or the process
// holds as much as it may. Nothing of the request has run.
var (
	ErrTooLarge = errors.New("the body is over its limit")
	ErrSlow     = errors.New("the body arrives too slowly")
	ErrCrowded  = errors.New("this host has received more than it can hold")
)

// interruption is an error of a connection that net/http takes for a timeout, after which it closes the connection in silence.
type interruption struct{ cause error }

var (
	errSlow    = &interruption{ErrSlow}
	errCrowded = &interruption{ErrCrowded}
)

// Error implements error.
func (i *interruption) Error() string { return i.cause.Error() }

// Unwrap gives errors.Is the cause.
func (i *interruption) Unwrap() error { return i.cause }

// Timeout implements net.Error.
func (i *interruption) Timeout() bool { return true }

// Temporary implements net.Error.
func (i *interruption) Temporary() bool { return true }

const (
	// firstBlock holds the body of most requests.
	firstBlock = 4 << 10
	// nextBlock is how much is allocated for more bytes to come.
	nextBlock = 16 << 10
)

// ReadBody reads a body of at most so many bytes, or as many as the gate allows. Memory is allocated as bytes arrive, not by a length
// that was only stated. After an error the answer must close the connection (EndConnection), since the rest of the body is not read.
func ReadBody(r *http.Request, limit int64) ([]byte, error) {
	counted := connOf(r)
	if counted != nil {
		limit = min(limit, counted.budget.limits.Body)
	}
	raw, err := read(r, limit, counted)
	if errors.Is(err, ErrTooLarge) {
		refused.large.Inc()
	}
	if err != nil && counted != nil {
		counted.stop()
	}
	return raw, err
}

func read(r *http.Request, limit int64, counted *conn) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, ErrTooLarge
	}
	var blocks [][]byte
	var size int64
	for {
		block := make([]byte, blockSize(r.ContentLength, size, limit))
		count, err := fill(r.Body, block, counted)
		size += int64(count)
		if size > limit {
			return nil, ErrTooLarge
		}
		blocks = append(blocks, block[:count])
		whole := errors.Is(err, io.EOF) || size == r.ContentLength
		if err != nil && !whole {
			return nil, err
		}
		if !whole {
			continue
		}
		if counted != nil {
			if err := counted.finishBody(); err != nil {
				return nil, err
			}
		}
		if len(blocks) == 1 {
			return blocks[0], nil
		}
		return bytes.Join(blocks, nil), nil
	}
}

// blockSize returns how much to allocate for the next bytes; one byte more than the limit tells a body that is over it.
func blockSize(stated, size, limit int64) int64 {
	block := int64(nextBlock)
	if size == 0 {
		block = firstBlock
	}
	if stated >= 0 {
		return min(block, stated-size)
	}
	return min(block, limit+1-size)
}

// fill reads until a block is full or the body ends.
func fill(from io.Reader, block []byte, counted *conn) (int, error) {
	filled := 0
	for filled < len(block) {
		count, err := from.Read(block[filled:])
		filled += count
		if counted != nil {
			counted.count(int64(count))
		}
		if err != nil {
			return filled, err
		}
	}
	return filled, nil
}

// HandOn tells that the request was read and what is needed of it is kept elsewhere. A long head is dropped but for the fields with
// the given names.
func HandOn(r *http.Request, keep ...string) {
	counted := connOf(r)
	if counted == nil || counted.handOn() <= nextBlock {
		return
	}
	kept := http.Header{}
	for _, name := range keep {
		if values := r.Header.Values(name); len(values) > 0 {
			kept[http.CanonicalHeaderKey(name)] = values
		}
	}
	r.Header = kept
}

// Decode runs a function that decodes a body. Large bodies are decoded one after the other, since what they decode to may be larger
// by far.
func Decode(r *http.Request, raw []byte, decode func(raw []byte) error) error {
	if counted := connOf(r); counted != nil && len(raw) > nextBlock {
		counted.budget.decoding <- struct{}{}
		defer func() { <-counted.budget.decoding }()
	}
	return decode(raw)
}
