package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the case's record.txt: what was sent, answered and run, with the milliseconds since the start of the case.
type record struct {
	mu      sync.Mutex
	file    *os.File
	began   time.Time
	details []string
	broken  bool
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, began: time.Now()}, nil
}

func (r *record) line(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, values...))
}

// breach notes that the rule was broken.
func (r *record) breach(format string, values ...any) {
	r.line("RULE BROKEN: "+format, values...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = true
	r.details = append(r.details, fmt.Sprintf(format, values...))
}
