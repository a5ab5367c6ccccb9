package hostlist

import (
	"sync"

	"chervilusher.dev/lib/platform"
)

// entry is a host and the version of the list that last changed it.
type entry struct {
	host    platform.Host
	version int64
}

// list is what readers see.
type list struct {
	mu      sync.Mutex
	version int64
	order   []string
	entries map[string]entry
	changed chan struct{}
}

func newList() *list {
	return &list{entries: map[string]entry{}, changed: make(chan struct{})}
}

// put makes changed hosts visible under one new version.
func (l *list) put(hosts ...platform.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.version++
	for _, host := range hosts {
		if _, known := l.entries[host.Name]; !known {
			l.order = append(l.order, host.Name)
		}
		l.entries[host.Name] = entry{host: host, version: l.version}
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

// since returns the changes after a version, or the whole list to a reader that has none or a newer one.
func (l *list) since(version int64) (platform.HostList, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	full := version <= 0 || version > l.version
	answer := platform.HostList{Version: l.version, Full: full, Hosts: []platform.Host{}}
	if version == l.version {
		return answer, l.changed
	}
	for _, name := range l.order {
		found := l.entries[name]
		if full && found.host.State != platform.HostGone || !full && found.version > version {
			answer.Hosts = append(answer.Hosts, found.host)
		}
	}
	return answer, l.changed
}

func (l *list) current() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.version
}
