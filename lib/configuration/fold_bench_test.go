package configuration

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chervilusher.dev/lib/jsontime"
	"chervilusher.dev/lib/platform"
)

// bigDocument has two tokens, a place, an objective and one service for each number.
func bigDocument(owner string, services int) *Document {
	document := &Document{Owner: owner, Places: []Place{{Name: "north", Domain: "r1-p1"}}}
	for i := range 2 {
		token := Token{Name: fmt.Sprintf("desk-%d", i), Role: RoleCaller, Hash: HashToken(owner + fmt.Sprint(i))}
		document.Tokens = append(document.Tokens, token)
	}
	for i := range services {
		document.Services = append(document.Services, Service{
			Name: fmt.Sprintf("service-%d", i), Group: fmt.Sprintf("group-%d", i), Places: []string{"north"},
			Deadline: jsontime.Duration(5 * time.Second),
		})
	}
	document.Objectives = []Objective{{Name: "answers", Service: "service-0", Target: 0.999}}
	return document
}

func publishRecord(offset int64, base int64, document *Document) platform.Record {
	raw, _ := json.Marshal(Record{Type: RecordPublish, Publish: fmt.Sprint(offset), Author: "bench", Base: base, Document: document})
	return platform.Record{Offset: offset, Data: raw}
}

// BenchmarkFold reports what one accepted change costs a host, by the owners and by the services of a document.
func BenchmarkFold(b *testing.B) {
	for _, size := range []struct{ owners, services int }{{2, 10}, {44, 10}, {440, 10}, {44, 100}} {
		b.Run(fmt.Sprintf("owners=%d/services=%d", size.owners, size.services), func(b *testing.B) {
			before := heapBytes()
			state := NewState()
			for i := range size.owners {
				state = state.Apply(publishRecord(int64(i), 0, bigDocument(fmt.Sprintf("owner-%d", i), size.services)))
			}
			held := heapBytes() - before
			change := bigDocument("owner-0", size.services)
			bytes := 0
			for b.Loop() {
				record := publishRecord(state.Next, state.Version("owner-0"), change)
				bytes = len(record.Data)
				state = state.Apply(record)
			}
			require.Len(b, state.Owners, size.owners)
			b.ReportMetric(float64(bytes), "bytes/change")
			b.ReportMetric(float64(held)/float64(size.owners), "heap-bytes/owner")
		})
	}
}

func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
