package cellhost

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"chervilusher.dev/entry/pkg/cell"
	"chervilusher.dev/entry/pkg/common"
)

// BenchmarkJobLines measures the lines of a job's home and keeper, with their counters.
func BenchmarkJobLines(b *testing.B) {
	c := newClaimant("a", north)
	handler := common.NewBoundedHandler(io.Discard, clockwork.NewRealClock(), 1<<40)
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	go handler.Serve(ctx)
	c.keeper.common = (&common.Common{Log: &log.Logger{Handler: common.NewPrefixHandler(handler), Level: log.InfoLevel}, Clock: c.clock}).Prefixed("keeper")
	home := NewHomeController(c.keeper.common, c.options, c.board, nil, c.keeper)
	submission := submissionOf(c.clock)
	r := &route{home: home, submission: submission, request: home.newRequest(submission), tried: []string{"front-gt-central-a-1"}}
	job := &cell.Job{ID: submission.ID, Home: "front-gt-central-a-10", Tasks: make([]*cell.Task, 2)}
	trace := &cell.Diagnostics{EndedRuns: []cell.EndedRun{
		{Task: "3394ec6a3bb36a60.0.0.0", Number: 1, Worker: "i-0c90af9c04", Result: "done", Took: 170 * time.Millisecond},
		{Task: "3394ec6a3bb36a60.0.0.1", Number: 1, Worker: "i-0c90af9c05", Result: "done", Took: 180 * time.Millisecond},
	}}
	answer := &cell.Answer{Outcome: cell.Completed}
	b.ReportAllocs()
	for b.Loop() {
		home.logAnswer(r, answer)
		c.keeper.logJob(job, trace, answer)
	}
}
