package peer

import (
	"encoding/json"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chervilusher.dev/entry/pkg/cell"
	"chervilusher.dev/entry/pkg/lending"
	"chervilusher.dev/lib/api"
)

// BenchmarkSubmitSize reports the bytes of a forwarded submission by its number of tasks.
func BenchmarkSubmitSize(b *testing.B) {
	for _, tasks := range []int{1, 29, 290} {
		b.Run(strconv.Itoa(tasks), func(b *testing.B) {
			request := &SubmitRequest{
				Identity: Identity{Account: "hokkaido", Incarnation: "0123456789abcdef", Window: time.Now().UnixMilli(), Key: "0b1f3f0e-8f0a-4a58-9e6e-2f6c6f3d9a11"},
				Digest:   1 << 60,
			}
			for range tasks {
				request.Submission.Tasks = append(request.Submission.Tasks, api.Task{
					Service: "desk", Kind: "stock", Payload: json.RawMessage(`{"work":"100ms","echo":"0123456789"}`),
				})
			}
			measureSize(b, request)
		})
	}
}

// BenchmarkLendingSize reports the bytes of lending messages by the number of back ends in them.
func BenchmarkLendingSize(b *testing.B) {
	for _, backends := range []int{1, 8, 64} {
		holdings := make([]lending.Holding, backends)
		for i := range holdings {
			holdings[i] = lending.Holding{Backend: "orders-desk-" + strconv.Itoa(i), Slots: 8, Slowness: 0.9123}
		}
		b.Run("ask/"+strconv.Itoa(backends), func(b *testing.B) {
			measureSize(b, &lending.BorrowRequest{
				Host: "entry-1", Incarnation: "0123456789abcdef", Epoch: 7, Returned: holdings,
				Demands: []lending.Demand{{Requirements: lending.Requirements{Group: "orders-desk"}, Count: 12, Limit: 1.1, MayWait: 12}},
			})
		})
		b.Run("answer/"+strconv.Itoa(backends), func(b *testing.B) {
			measureSize(b, &lending.BorrowResponse{
				Granted: holdings, Length: 2 * time.Second,
				Offers: []lending.Offer{{Group: "orders-desk", Slowness: 0.7, Free: 3}, {Group: "orders-desk", Slowness: 1, Free: 9}},
			})
		})
	}
}

// BenchmarkHeartbeatSize reports the bytes of a keeper's heartbeat by the number of queues that it is short of room for.
func BenchmarkHeartbeatSize(b *testing.B) {
	for _, short := range []int{0, 3, 16} {
		heartbeat := &Heartbeat{
			Name: "front-gt-central-a-1", Address: "10.0.0.1:7000", Incarnation: "0123456789abcdef0123456789abcdef", Clock: time.Now().UnixNano(),
			Claims: []Claim{{Cell: CellKey{FailureDomain: "gt-central-a"}, CellCount: 3, Epoch: 1 << 50}},
			Loads:  []cell.Load{{Group: "se97a", FreeSlots: 9, Waiting: 40}}, Calls: &OpenCalls{},
		}
		for i := range short {
			heartbeat.Excesses = append(heartbeat.Excesses, Excess{Queue: "r-yx4n3g" + strconv.Itoa(i), Beyond: 640, Refused: 600, RetryAfter: 1800})
		}
		b.Run(strconv.Itoa(short), func(b *testing.B) { measureSize(b, heartbeat) })
	}
}

// BenchmarkStartsNoticeSize reports the bytes of a notice by the number of starts in it.
func BenchmarkStartsNoticeSize(b *testing.B) {
	for _, starts := range []int{1, 29, 290} {
		notice := &StartsNotice{Host: "front-gt-central-a-1", Incarnation: "0123456789abcdef0123456789abcdef"}
		for i := range starts {
			task := "9b1b15dd0a4c05fc.0.0." + strconv.Itoa(i)
			notice.Starts = append(notice.Starts, cell.LateStart{Task: task, Worker: "i-f0a53f9664", Number: 1, Sent: time.Now().UnixNano(), Known: 13 * time.Second})
		}
		b.Run(strconv.Itoa(starts), func(b *testing.B) { measureSize(b, notice) })
	}
}

func measureSize(b *testing.B, message any) {
	b.Helper()
	size := 0
	for b.Loop() {
		raw, err := encoding{}.Marshal(message)
		require.NoError(b, err)
		size = len(raw)
	}
	b.ReportMetric(float64(size), "bytes/message")
}
