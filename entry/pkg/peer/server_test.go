package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
)

// serve runs a server until the test ends, and returns its address.
func serve(t *testing.T, server *Server) string {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- server.Serve(ctx, listener) }()
	t.Cleanup(func() {
		stop()
		require.NoError(t, <-served)
	})
	return listener.Addr().String()
}

// TestUnexpectedErrorFailsOneCallAndNotTheProcess checks that a panic in a method fails only its own call and is
// logged.
func TestUnexpectedErrorFailsOneCallAndNotTheProcess(t *testing.T) {
	lines := memory.New()
	server := NewServer()
	server.SetLogger(&log.Logger{Handler: lines, Level: log.InfoLevel})
	Handle(server, MethodChanges, func(_ context.Context, request *ChangesRequest) (*ChangesResponse, error) {
		if request.Since < 0 {
			panic("no such position")
		}
		return &ChangesResponse{Position: request.Since}, nil
	})
	client := NewClient(nil)
	t.Cleanup(func() { require.NoError(t, client.Close()) })
	address := serve(t, server)
	before := panics.Get()
	for range 3 {
		_, err := Call[ChangesRequest, ChangesResponse](t.Context(), client, address, MethodChanges, &ChangesRequest{Since: -1})
		require.ErrorContains(t, err, errUnexpected.Error())
		require.False(t, errors.Is(err, ErrUnreachable), "the call may have taken effect")
		response, err := Call[ChangesRequest, ChangesResponse](t.Context(), client, address, MethodChanges, &ChangesRequest{Since: 7})
		require.NoError(t, err)
		require.EqualValues(t, 7, response.Position)
	}
	require.EqualValues(t, 3, panics.Get()-before)
	require.Eventually(t, func() bool { return server.Running() == 0 }, time.Second, time.Millisecond, "a call is counted until its response was sent")
	require.Len(t, lines.Entries, 3)
	require.Equal(t, MethodChanges, lines.Entries[0].Fields["method"])
	require.Equal(t, "no such position", lines.Entries[0].Fields["cause"])
	require.Contains(t, lines.Entries[0].Fields["stack"], "server_test.go")
}

// TestMalformedMessageFailsOneCall checks that a request that cannot be decoded fails only its own call.
func TestMalformedMessageFailsOneCall(t *testing.T) {
	server := NewServer()
	Handle(server, MethodHeartbeat, func(_ context.Context, heartbeat *Heartbeat) (*Heartbeat, error) { return heartbeat, nil })
	client := NewClient(nil)
	t.Cleanup(func() { require.NoError(t, client.Close()) })
	address := serve(t, server)
	type other struct {
		Name   []int  `json:"n"`
		Claims string `json:"c"`
	}
	_, err := Call[other, Heartbeat](t.Context(), client, address, MethodHeartbeat, &other{Name: []int{1}, Claims: "x"})
	require.Error(t, err)
	answer, err := Call[Heartbeat, Heartbeat](t.Context(), client, address, MethodHeartbeat, &Heartbeat{Name: "a"})
	require.NoError(t, err)
	require.Equal(t, "a", answer.Name)
}

// FuzzMessages feeds arbitrary bytes to the decoder of each message between hosts.
func FuzzMessages(f *testing.F) {
	for _, message := range []any{
		&Heartbeat{Name: "a", Claims: []Claim{{Cell: CellKey{FailureDomain: "p", Index: 1}, CellCount: 2}}},
		&RunRequest{ID: "j", Tasks: []RunTask{{Name: "t"}}},
		&RunResponse{Declined: true},
		&ChangesResponse{Known: true, Workers: []WorkerInfo{{ID: "w"}}, Removed: []string{"x"}},
		&CancelJobsRequest{IDs: []string{"j"}},
		&CancelJobsResponse{Cancelled: []string{"j"}},
	} {
		raw, err := encoding{}.Marshal(message)
		require.NoError(f, err)
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		for _, message := range []any{
			&Heartbeat{}, &RunRequest{}, &RunResponse{}, &ChangesResponse{}, &DirectoryResponse{}, &QueuesResponse{},
			&CancelJobsRequest{}, &CancelJobsResponse{},
		} {
			if (encoding{}).Unmarshal(raw, message) == nil {
				_, err := encoding{}.Marshal(message)
				require.NoError(t, err)
			}
		}
	})
}

// TestSendReturnsOnceTheRequestIsWritten guards against callers that wait for a response which they do not need yet.
func TestSendReturnsOnceTheRequestIsWritten(t *testing.T) {
	server, client := NewServer(), NewClient(nil)
	read, answer := make(chan string, 1), make(chan struct{})
	Handle(server, "call", func(_ context.Context, notice *StartsNotice) (*StartsNotice, error) {
		read <- notice.Host
		<-answer
		return notice, nil
	})
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = server.Serve(t.Context(), listener) }()
	receive, err := Send[StartsNotice, StartsNotice](t.Context(), client, listener.Addr().String(), "call", &StartsNotice{Host: "a"})
	require.NoError(t, err)
	require.Equal(t, "a", <-read)
	close(answer)
	response, err := receive()
	require.NoError(t, err)
	require.Equal(t, "a", response.Host)
	receive, err = Send[StartsNotice, StartsNotice](t.Context(), client, listener.Addr().String(), "unknown", &StartsNotice{Host: "a"})
	require.NoError(t, err)
	_, err = receive()
	require.ErrorContains(t, err, "no method")
	require.NoError(t, listener.Close())
	require.NoError(t, client.Close())
	_, err = Send[StartsNotice, StartsNotice](t.Context(), NewClient(nil), listener.Addr().String(), "call", &StartsNotice{})
	require.ErrorIs(t, err, ErrUnreachable)
}

// BenchmarkSend has a request written and its response read, as for the notice of a start.
func BenchmarkSend(b *testing.B) {
	server, client := NewServer(), NewClient(nil)
	Handle(server, "call", func(_ context.Context, _ *StartsNotice) (*StartsNoticed, error) { return &StartsNoticed{}, nil })
	listener, err := (&net.ListenConfig{}).Listen(b.Context(), "tcp", "127.0.0.1:0")
	require.NoError(b, err)
	go func() { _ = server.Serve(b.Context(), listener) }()
	writing := time.Duration(0)
	for b.Loop() {
		began := time.Now()
		receive, err := Send[StartsNotice, StartsNoticed](b.Context(), client, listener.Addr().String(), "call", &StartsNotice{Host: "a"})
		writing += time.Since(began)
		require.NoError(b, err)
		_, err = receive()
		require.NoError(b, err)
	}
	b.ReportMetric(float64(writing.Microseconds())/float64(b.N), "us/write")
	require.NoError(b, client.Close())
}
