package metastore

import (
	"encoding/binary"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"chervilusher.dev/standin/pkg/control"
)

const (
	// pageItems bounds the records of one page.
	pageItems = 500
	// longestWait bounds how long a read waits for a record.
	longestWait = 30 * time.Second
	// mostKilobytes bounds the records of one answer.
	mostKilobytes = 1024
	// maxBodyBytes bounds one append.
	maxBodyBytes = 2 << 20
	// lengthBytes is the size of the length before a record.
	lengthBytes = 4
)

// Service is the store; its faults are those of a platform service.
type Service struct {
	clock  clockwork.Clock
	Faults *control.Switch[control.Platform]
	gate   *control.Gate

	mu     sync.Mutex
	topics map[string]*topic
	calls  int
}

// New returns an empty store.
func New(clock clockwork.Clock, seed uint64) *Service {
	faults := control.New[control.Platform]()
	return &Service{clock: clock, Faults: faults, gate: control.NewGate(clock, seed, faults.Watch), topics: map[string]*topic{}}
}

// Handler returns the store's interface.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/log-append", s.gate.Wrap(s.serveAppend))
	mux.HandleFunc("GET /-/log-read", s.gate.Wrap(s.serveRead))
	mux.HandleFunc("GET /-/log-newest", s.gate.Wrap(s.serveNewest))
	return mux
}

// Put writes a record as the operator or a minion does; an empty value drops the key.
func (s *Service) Put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(name).append(key, value)
}

// Get returns the newest value of a key, or nil.
func (s *Service) Get(name, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.topic(name).newest[key].value
}

// Compact drops the history of a topic; the newest record of each key stays readable as such.
func (s *Service) Compact(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(name).records = nil
}

// Calls returns how many calls the store has answered.
func (s *Service) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// topic returns the topic of that name and makes it when it is new; the caller holds the lock.
func (s *Service) topic(name string) *topic {
	found, ok := s.topics[name]
	if !ok {
		found = newTopic()
		s.topics[name] = found
	}
	return found
}

func (s *Service) serveAppend(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.calls++
	into := s.topic(r.URL.Query().Get("topic"))
	first := into.end
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.FormatInt(first, 10) {
		s.mu.Unlock()
		control.WriteJSON(w, http.StatusPreconditionFailed, map[string]int64{"end": first})
		return
	}
	for len(raw) >= lengthBytes {
		length := int(binary.BigEndian.Uint32(raw))
		content := raw[lengthBytes : lengthBytes+length]
		raw = raw[lengthBytes+length:]
		end := 1 + int(content[0])
		into.append(string(content[1:end]), content[end:])
	}
	end := into.end
	s.mu.Unlock()
	s.gate.LoseAnswer()
	control.WriteJSON(w, http.StatusOK, map[string]int64{"offset": first, "end": end})
}

func (s *Service) serveRead(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	wait := longestWait
	if milliseconds, err := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64); err == nil {
		wait = min(wait, time.Duration(milliseconds)*time.Millisecond)
	}
	most := mostKilobytes
	if kilobytes, err := strconv.Atoi(r.URL.Query().Get("max_kb")); err == nil {
		most = min(most, kilobytes)
	}
	timer := s.clock.NewTimer(wait)
	defer timer.Stop()
	for waiting := true; waiting; {
		s.mu.Lock()
		read := s.topic(r.URL.Query().Get("topic"))
		end, changed := read.end, read.changed
		s.mu.Unlock()
		if end > from {
			break
		}
		select {
		case <-changed:
		case <-timer.Chan():
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
	s.mu.Lock()
	s.calls++
	read := s.topic(r.URL.Query().Get("topic"))
	first := read.first()
	raw := read.read(from, most)
	s.mu.Unlock()
	if from < first {
		control.WriteJSON(w, http.StatusGone, map[string]int64{"first": first})
		return
	}
	_, _ = w.Write(raw)
}

// newestItem is one record of a page.
type newestItem struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Offset int64  `json:"offset"`
}

func (s *Service) serveNewest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	read := s.topic(r.URL.Query().Get("topic"))
	page, more := read.after(r.URL.Query().Get("after"), pageItems)
	end := read.end
	s.mu.Unlock()
	items := make([]newestItem, 0, len(page))
	for _, kept := range page {
		items = append(items, newestItem{Key: kept.key, Value: kept.value, Offset: kept.offset})
	}
	control.WriteJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "end": end})
}
