package common_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"chervilusher.dev/entry/pkg/common"
)

func TestLinesAreJSONAndBoundedInRate(t *testing.T) {
	var out bytes.Buffer
	clock := clockwork.NewFakeClock()
	handler := common.NewBoundedHandler(&out, clock, 3)
	logger := &log.Logger{Handler: common.NewPrefixHandler(handler), Level: log.InfoLevel}
	c := (&common.Common{Log: logger}).Prefixed("home")
	for range 10 {
		c.Log.WithField("job", "j1").WithError(errors.New("it broke\nin two")).Info("job answered")
	}
	c.Log.Warn("still written, up to twice the rate")
	clock.Advance(time.Second)
	c.Log.Info("next second")
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	handler.Serve(ctx)
	lines := bytes.Split(bytes.TrimSpace(out.Bytes()), []byte("\n"))
	require.Len(t, lines, 4)
	var first map[string]string
	require.NoError(t, json.Unmarshal(lines[0], &first))
	require.Equal(t, "home: job answered", first["message"])
	require.Equal(t, "j1", first["job"])
	require.Equal(t, "it broke\nin two", first["error"])
	require.NotContains(t, first, "source")
}

// stuck is a reader that never takes a byte.
type stuck struct{}

func (stuck) Write([]byte) (int, error) { select {} }

func TestReaderThatStandsStillDoesNotBlock(t *testing.T) {
	handler := common.NewBoundedHandler(stuck{}, clockwork.NewRealClock(), 1_000_000)
	go handler.Serve(context.Background())
	logger := &log.Logger{Handler: handler, Level: log.InfoLevel}
	written := make(chan struct{})
	go func() {
		defer close(written)
		for range 5000 {
			logger.Info("a line")
		}
	}()
	select {
	case <-written:
	case <-time.After(5 * time.Second):
		require.Fail(t, "logging blocks")
	}
}

// TestLongValueDoesNotFillTheMemory guards against a process that ends for its memory, since lines that quote what another
// writer has left wait for a slow reader.
func TestLongValueDoesNotFillTheMemory(t *testing.T) {
	var out bytes.Buffer
	handler := common.NewBoundedHandler(&out, clockwork.NewFakeClock(), 10)
	logger := &log.Logger{Handler: handler, Level: log.InfoLevel}
	long := strings.Repeat("\u00fc", 1<<18)
	logger.WithField("key", long).WithField("names", []string{long}).WithError(errors.New(long)).Warn(long)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	handler.Serve(ctx)
	require.Less(t, out.Len(), 100_000)
	var line map[string]any
	require.NoError(t, json.Unmarshal(out.Bytes(), &line))
	require.True(t, strings.HasPrefix(line["error"].(string), "\u00fc\u00fc\u00fc"))
	require.True(t, strings.HasSuffix(line["error"].(string), "\u00fc..."), "it is cut between letters")
}
