package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in for the platform's metadata store: keyed topics with one partition, of which nothing expires.
type store struct {
	mu      sync.Mutex
	topics  map[string]*topic
	changed chan struct{} // closed at the next append
}

type topic struct {
	records [][]byte // each is a key's length, the key and the value
	newest  map[string]keyed
}

type keyed struct {
	value  []byte
	offset int
}

func newStore() *store {
	return &store{topics: map[string]*topic{}, changed: make(chan struct{})}
}

// translation replaces the addresses in a record's value by those under which its reader reaches them.
type translation func(topic, key string, value []byte) []byte

// handler returns the store's interface for one reader.
func (s *store) handler(translate translation) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/log-append", s.serveAppend)
	mux.HandleFunc("GET /-/log-read", func(w http.ResponseWriter, r *http.Request) { s.serveRead(w, r, translate) })
	mux.HandleFunc("GET /-/log-newest", func(w http.ResponseWriter, r *http.Request) { s.serveNewest(w, r, translate) })
	return mux
}

// topic returns the topic of that name; the caller holds the lock.
func (s *store) topic(name string) *topic {
	if s.topics[name] == nil {
		s.topics[name] = &topic{newest: map[string]keyed{}}
	}
	return s.topics[name]
}

// add appends a record; the caller holds the lock.
func (s *store) add(name string, record []byte) {
	t := s.topic(name)
	key, value := string(record[1:1+record[0]]), record[1+int(record[0]):]
	t.newest[key] = keyed{value, len(t.records)}
	if len(value) == 0 {
		delete(t.newest, key)
	}
	t.records = append(t.records, record)
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a record as the operator or a minion does.
func (s *store) put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(name, append(append([]byte{byte(len(key))}, key...), value...))
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	name := r.URL.Query().Get("topic")
	first := len(s.topic(name).records)
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.Itoa(first) {
		w.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(w).Encode(map[string]int{"end": first})
		return
	}
	for len(body) > 4 {
		length := int(binary.BigEndian.Uint32(body))
		s.add(name, slices.Clone(body[4:4+length]))
		body = body[4+length:]
	}
	_ = json.NewEncoder(w).Encode(map[string]int{"offset": first, "end": len(s.topic(name).records)})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request, translate translation) {
	query := r.URL.Query()
	from, _ := strconv.Atoi(query.Get("from"))
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	until := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		records, changed := s.topic(query.Get("topic")).records, s.changed
		s.mu.Unlock()
		if from < len(records) || wait == 0 {
			answer := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
			answer = binary.BigEndian.AppendUint64(answer, 0)
			for _, record := range records[min(from, len(records)):] {
				head := 1 + int(record[0])
				value := translate(query.Get("topic"), string(record[1:head]), record[head:])
				answer = binary.BigEndian.AppendUint32(answer, uint32(head+len(value)))
				answer = append(append(answer, record[:head]...), value...)
			}
			_, _ = w.Write(answer)
			return
		}
		select {
		case <-changed:
		case <-until:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request, translate translation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	name := r.URL.Query().Get("topic")
	t := s.topic(name)
	items := []map[string]any{}
	for key, newest := range t.newest {
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(translate(name, key, newest.value)), "offset": newest.offset})
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "has_more": false, "end": len(t.records)})
}
