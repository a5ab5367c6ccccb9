package integration

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chervilusher.dev/lib/configuration"
	"chervilusher.dev/lib/platform"
)

// Sizes of the fleet in two years.
const (
	targetBackends = 5500
	targetPlaces   = 24
	placeHosts     = 6
)

// Bounds of a host's control work.
const (
	controlShare  = 0.048 // of a core
	controlBytes  = 3000  // a second, sent
	clockTicks    = 100   // of the processor time in /proc, a second
	measureLength = 10 * time.Second
)

// TestIdleCostAtTargetSize runs the hosts of one place against a host list of the target's size, and measures what each spends while nothing is to be done.
func TestIdleCostAtTargetSize(t *testing.T) {
	entries := make([]*entry, placeHosts)
	for i := range entries {
		entries[i] = newEntry(t, i, "place-0")
	}
	list := httptest.NewServer(targetHostList(t, entries))
	t.Cleanup(list.Close)
	log := httptest.NewServer(http.HandlerFunc(shortLog))
	t.Cleanup(log.Close)
	for _, daemon := range entries {
		daemon.log = newRelay(t, strings.TrimPrefix(log.URL, "http://"))
		daemon.hosts = newRelay(t, strings.TrimPrefix(list.URL, "http://"))
		daemon.writeSettings(plan{})
		daemon.start()
	}
	for _, daemon := range entries {
		daemon.waitReady()
	}
	time.Sleep(3 * time.Second) // until all have met
	watched := entries[2]
	sentBefore, busyBefore := watched.metric(`chervilusher_peer_bytes_total{direction="sent"}`), processorTime(t, watched)
	time.Sleep(measureLength)
	sent := (watched.metric(`chervilusher_peer_bytes_total{direction="sent"}`) - sentBefore) / measureLength.Seconds()
	busy := (processorTime(t, watched) - busyBefore).Seconds() / measureLength.Seconds()
	t.Logf("%d back ends, %d hosts: %.0f bytes sent to hosts a second, %.3f of a core, %d MB resident",
		targetBackends, targetPlaces*placeHosts, sent, busy, residentBytes(t, watched)>>20)
	require.LessOrEqual(t, sent, float64(controlBytes))
	require.LessOrEqual(t, busy, controlShare)
}

func targetHostList(t *testing.T, entries []*entry) http.HandlerFunc {
	list := platform.HostList{Version: 1, Full: true}
	for _, daemon := range entries {
		list.Hosts = append(list.Hosts, platform.Host{Name: daemon.name, Address: daemon.peer, Place: daemon.place, Role: platform.RoleEntry, State: platform.HostLive, Size: 1})
	}
	for i := range targetPlaces*placeHosts - len(entries) {
		list.Hosts = append(list.Hosts, platform.Host{
			Name: fmt.Sprint("far-", i), Address: entries[i%placeHosts].peer, Place: fmt.Sprint("place-", 1+i%(targetPlaces-1)),
			Role: platform.RoleEntry, State: platform.HostLive, Size: 1,
		})
	}
	for i := range targetBackends {
		list.Hosts = append(list.Hosts, platform.Host{
			Name: fmt.Sprint("minion-", i), Address: "127.0.0.1:9", Place: fmt.Sprint("place-", i%targetPlaces), Role: platform.RoleMinion,
			Group: fmt.Sprint("group-", i%44), State: platform.HostLive, Slots: 8, Connections: 64,
		})
	}
	raw, err := json.Marshal(list)
	require.NoError(t, err)
	return func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Query().Get("since") == "1" {
			waitAsAsked(request)
			_ = json.NewEncoder(writer).Encode(platform.HostList{Version: 1})
			return
		}
		_, _ = writer.Write(raw)
	}
}

// shortLog serves a stream of one record.
func shortLog(writer http.ResponseWriter, request *http.Request) {
	batch := platform.Batch{Next: 1}
	if request.URL.Query().Get("from") == "0" {
		record := configuration.Record{Type: configuration.RecordPublish, Publish: "first", Document: &configuration.Document{Owner: "desk-owner"}}
		raw, err := json.Marshal(record)
		if err != nil {
			panic(err)
		}
		batch.Records = []platform.Record{{Time: time.Now(), Data: raw}}
	} else {
		waitAsAsked(request)
	}
	_ = json.NewEncoder(writer).Encode(batch)
}

func waitAsAsked(request *http.Request) {
	wait, _ := time.ParseDuration(request.URL.Query().Get("wait"))
	select {
	case <-request.Context().Done():
	case <-time.After(wait):
	}
}

// processorTime returns the processor time of the daemon so far.
func processorTime(t *testing.T, daemon *entry) time.Duration {
	t.Helper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", daemon.command.Process.Pid))
	require.NoError(t, err)
	fields := strings.Fields(string(raw[strings.LastIndexByte(string(raw), ')')+2:]))
	user, err := strconv.ParseInt(fields[11], 10, 64)
	require.NoError(t, err)
	system, err := strconv.ParseInt(fields[12], 10, 64)
	require.NoError(t, err)
	return time.Duration(user+system) * time.Second / clockTicks
}

func residentBytes(t *testing.T, daemon *entry) int64 {
	t.Helper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", daemon.command.Process.Pid))
	require.NoError(t, err)
	pages, err := strconv.ParseInt(strings.Fields(string(raw))[1], 10, 64)
	require.NoError(t, err)
	return pages * int64(os.Getpagesize())
}
