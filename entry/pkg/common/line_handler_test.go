package common_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/apex/log"
	"github.com/stretchr/testify/require"

	"chervilusher.dev/entry/pkg/common"
)

func TestLinesArePlainAndStartWithTheirPart(t *testing.T) {
	var out bytes.Buffer
	logger := &log.Logger{Handler: common.NewPrefixHandler(common.NewLineHandler(&out)), Level: log.InfoLevel}
	c := (&common.Common{Log: logger}).Prefixed("dispatch")
	c.Log.Debug("not written at this level")
	c.Log.WithField("start", "j1.0.1").WithField("error", "it broke\nin two").Warn("start ended")

	line := out.String()
	require.Equal(t, 1, strings.Count(line, "\n"))
	_, rest, _ := strings.Cut(line, " ")
	require.Equal(t, `WARN  dispatch: start ended error="it broke\nin two" start=j1.0.1`+"\n", rest)
}
