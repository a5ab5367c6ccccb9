package operator_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/lib/platform"
)

// BenchmarkStatus reports the size of a status of 5500 workers.
func BenchmarkStatus(b *testing.B) {
	const workers = 5500
	made := newBench()
	group := &blackboard.Group{Name: "workers", Role: platform.RoleWorker, Backends: map[string]*blackboard.Backend{}}
	for i := range workers {
		name := fmt.Sprintf("worker-%d", i)
		group.Backends[name] = &blackboard.Backend{
			Name: name, FailureDomain: fmt.Sprintf("place-%d", i%24), Rack: fmt.Sprintf("rack-%d", i/8), Group: group.Name,
			Role: platform.RoleWorker, Slots: 16, Cores: 16, Memory: 32 << 30,
		}
	}
	made.board.Dispatch.Groups[group.Name] = group
	bytes := 0
	b.ReportAllocs()
	for b.Loop() {
		request := httptest.NewRequestWithContext(b.Context(), http.MethodGet, "/v1/status", nil)
		request.Header.Set("Authorization", "Bearer host-token")
		recorder := httptest.NewRecorder()
		made.handler.ServeHTTP(recorder, request)
		bytes = recorder.Body.Len()
	}
	b.ReportMetric(float64(bytes)/workers, "body-bytes/worker")
}
