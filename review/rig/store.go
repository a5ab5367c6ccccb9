package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store: keyed topics of one partition. Each host has a listener of its own.
type store struct {
	record *record
	mu     sync.Mutex
	topics map[string]*topic
}

type entry struct {
	offset int64
	key    string
	value  []byte
}

type topic struct {
	entries []entry
	newest  map[string]entry
	changed chan struct{}
}

func newStore(r *record) *store {
	return &store{record: r, topics: map[string]*topic{}}
}

// topic returns the topic, which is made on first use; the caller holds the lock.
func (s *store) topic(name string) *topic {
	found, ok := s.topics[name]
	if !ok {
		found = &topic{newest: map[string]entry{}, changed: make(chan struct{})}
		s.topics[name] = found
	}
	return found
}

// put appends a record; an empty value drops the key.
func (s *store) put(name, key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	into := s.topic(name)
	added := entry{offset: int64(len(into.entries)), key: key, value: value}
	into.entries = append(into.entries, added)
	if len(value) == 0 {
		delete(into.newest, key)
	} else {
		into.newest[key] = added
	}
	close(into.changed)
	into.changed = make(chan struct{})
	return added.offset
}

// serveFor serves the calls of one host and returns the address.
func (s *store) serveFor(host string) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/log-append", func(w http.ResponseWriter, r *http.Request) { s.append(host, w, r) })
	mux.HandleFunc("GET /-/log-read", s.read)
	mux.HandleFunc("GET /-/log-newest", s.list)
	go func() { _ = http.Serve(listener, mux) }()
	return listener.Addr().String(), nil
}

func (s *store) append(host string, w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(r.Body)
	if err != nil || len(raw) < 5 {
		http.Error(w, "no record", http.StatusBadRequest)
		return
	}
	name := r.URL.Query().Get("topic")
	content := raw[4 : 4+binary.BigEndian.Uint32(raw)] // the program appends one record a call
	key, value := string(content[1:1+content[0]]), slices.Clone(content[1+content[0]:])
	if name == "keyed.op" || name == "keyed.servers" {
		http.Error(w, "not the system's topic", http.StatusForbidden)
		return
	}
	s.record.line("store: %s appends to %s key %s value %q", host, name, key, value)
	offset := s.put(name, key, value)
	writeJSON(w, http.StatusOK, map[string]int64{"offset": offset, "end": offset + 1})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err := strconv.ParseInt(query.Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from", http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	deadline := time.After(time.Duration(min(wait, 30_000)) * time.Millisecond)
	for waiting := true; waiting; {
		s.mu.Lock()
		of := s.topic(query.Get("topic"))
		there, changed := int64(len(of.entries)) > from, of.changed
		s.mu.Unlock()
		if there {
			break
		}
		select {
		case <-changed:
		case <-deadline:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
	s.mu.Lock()
	of := s.topic(query.Get("topic"))
	raw := binary.BigEndian.AppendUint64(nil, uint64(len(of.entries)))
	raw = binary.BigEndian.AppendUint64(raw, 0)
	for _, each := range of.entries[min(from, int64(len(of.entries))):] {
		raw = binary.BigEndian.AppendUint32(raw, uint32(1+len(each.key)+len(each.value)))
		raw = append(raw, byte(len(each.key)))
		raw = append(raw, each.key...)
		raw = append(raw, each.value...)
	}
	s.mu.Unlock()
	time.Sleep(4 * time.Millisecond)
	_, _ = w.Write(raw)
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int64  `json:"offset"`
	}
	s.mu.Lock()
	of := s.topic(r.URL.Query().Get("topic"))
	items := make([]item, 0, len(of.newest))
	for _, each := range of.newest {
		items = append(items, item{each.key, each.value, each.offset})
	}
	end := len(of.entries)
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b item) int { return int(a.Offset - b.Offset) })
	time.Sleep(4 * time.Millisecond)
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "end": end})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
