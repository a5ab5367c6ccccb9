package main

import (
	"os"
	"os/signal"
	"sync"
	"syscall"
)

// processes are those that this program has started.
type processes struct {
	mu  sync.Mutex
	all []*os.Process
}

var children processes

func (p *processes) add(started *os.Process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.all = append(p.all, started)
}

// endOnSignal ends all of them when this program is told to end.
func (p *processes) endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, each := range p.all {
			_ = each.Kill() // an error says that it has ended already
		}
		os.Exit(2)
	}()
}
