package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// store is the platform's store: keyed topics with one partition each.
type store struct {
	mu     sync.Mutex
	topics map[string]*topic
}

type topic struct {
	records [][]byte // in the binary form, without their lengths
	newest  map[string]keyed
	changed chan struct{} // closed at the next append
}

type keyed struct {
	value  []byte
	offset int64
}

func newStore() *store {
	return &store{topics: map[string]*topic{}}
}

func (s *store) topic(name string) *topic {
	found, ok := s.topics[name]
	if !ok {
		found = &topic{newest: map[string]keyed{}, changed: make(chan struct{})}
		s.topics[name] = found
	}
	return found
}

func (t *topic) append(content []byte) {
	offset := int64(len(t.records))
	t.records = append(t.records, content)
	end := 1 + int(content[0])
	key, value := string(content[1:end]), content[end:]
	if len(value) == 0 {
		delete(t.newest, key)
	} else {
		t.newest[key] = keyed{value: value, offset: offset}
	}
	close(t.changed)
	t.changed = make(chan struct{})
}

// put writes a record as the operator or a minion does.
func (s *store) put(name, key string, value []byte) {
	content := append([]byte{byte(len(key))}, key...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(name).append(append(content, value...))
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/log-append", s.serveAppend)
	mux.HandleFunc("GET /-/log-read", s.serveRead)
	mux.HandleFunc("GET /-/log-newest", s.serveNewest)
	return mux
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	into := s.topic(r.URL.Query().Get("topic"))
	first := int64(len(into.records))
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.FormatInt(first, 10) {
		writeJSON(w, http.StatusPreconditionFailed, map[string]int64{"end": first})
		return
	}
	for len(raw) >= 4 {
		length := int(binary.BigEndian.Uint32(raw))
		into.append(raw[4 : 4+length])
		raw = raw[4+length:]
	}
	writeJSON(w, http.StatusOK, map[string]int64{"offset": first, "end": int64(len(into.records))})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.ParseInt(query.Get("from"), 10, 64)
	wait, _ := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	kilobytes, err := strconv.Atoi(query.Get("max_kb"))
	if err != nil {
		kilobytes = 1024
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := true; waiting; {
		s.mu.Lock()
		read := s.topic(query.Get("topic"))
		end, changed := int64(len(read.records)), read.changed
		s.mu.Unlock()
		if end > from {
			break
		}
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	read := s.topic(query.Get("topic"))
	raw := binary.BigEndian.AppendUint64(nil, uint64(len(read.records)))
	raw = binary.BigEndian.AppendUint64(raw, 0)
	for at := from; at < int64(len(read.records)); at++ {
		record := read.records[at]
		if len(raw)+len(record) > kilobytes<<10 {
			break
		}
		raw = binary.BigEndian.AppendUint32(raw, uint32(len(record)))
		raw = append(raw, record...)
	}
	_, _ = w.Write(raw)
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int64  `json:"offset"`
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	read := s.topic(r.URL.Query().Get("topic"))
	items := []item{}
	for key, last := range read.newest {
		if key > r.URL.Query().Get("after") {
			items = append(items, item{key, last.value, last.offset})
		}
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	more := len(items) > 500
	if more {
		items = items[:500]
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "end": len(read.records)})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
