package metastore

import (
	"encoding/binary"
	"slices"
)

// record is one record of a topic.
type record struct {
	offset int64
	key    string
	value  []byte
}

// topic is the only partition of a topic that keeps the newest record of each key.
type topic struct {
	records []record // those that are kept, in their order
	end     int64
	newest  map[string]record
	changed chan struct{} // closed at the next append
}

func newTopic() *topic {
	return &topic{newest: map[string]record{}, changed: make(chan struct{})}
}

func (t *topic) append(key string, value []byte) {
	added := record{offset: t.end, key: key, value: value}
	t.end++
	t.records = append(t.records, added)
	if len(value) == 0 {
		delete(t.newest, key)
	} else {
		t.newest[key] = added
	}
	close(t.changed)
	t.changed = make(chan struct{})
}

// first returns the offset of the oldest record that is kept.
func (t *topic) first() int64 {
	if len(t.records) == 0 {
		return t.end
	}
	return t.records[0].offset
}

// read returns the records from an offset on, as many as so many kilobytes hold, in the store's binary form.
func (t *topic) read(from int64, kilobytes int) []byte {
	raw := binary.BigEndian.AppendUint64(nil, uint64(t.end))
	raw = binary.BigEndian.AppendUint64(raw, uint64(t.first()))
	for _, kept := range t.records {
		if kept.offset < from {
			continue
		}
		length := 1 + len(kept.key) + len(kept.value)
		if len(raw)+length > kilobytes<<10 {
			break
		}
		raw = binary.BigEndian.AppendUint32(raw, uint32(length))
		raw = append(raw, byte(len(kept.key)))
		raw = append(raw, kept.key...)
		raw = append(raw, kept.value...)
	}
	return raw
}

// after returns the newest records whose keys follow the given one, at most so many, and whether there are more.
func (t *topic) after(key string, most int) (page []record, more bool) {
	keys := make([]string, 0, len(t.newest))
	for other := range t.newest {
		if other > key {
			keys = append(keys, other)
		}
	}
	slices.Sort(keys)
	more = len(keys) > most
	for _, other := range keys[:min(most, len(keys))] {
		page = append(page, t.newest[other])
	}
	return page, more
}
