package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// network is the links between hosts, minions and the store; some of them may be cut off from all others.
type network struct {
	mu      sync.Mutex
	cutOff  map[string]bool
	links   map[[2]string]string
	callers map[string]string // names of hosts, by the address from which their link calls the target
}

func newNetwork() *network {
	return &network{links: map[[2]string]string{}, callers: map[string]string{}}
}

// cut partitions the named ones from all others until heal is called.
func (n *network) cut(names ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cutOff = map[string]bool{}
	for _, name := range names {
		n.cutOff[name] = true
	}
}

func (n *network) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cutOff = nil
}

// blocked reports whether the two are partitioned.
func (n *network) blocked(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cutOff[from] != n.cutOff[to]
}

// await returns when a packet between the two arrives: at once, or with the first repetition after the heal. Each repetition
// comes after twice the time of the one before, as TCP has it.
func (n *network) await(from, to string) {
	repeatAfter := 200 * time.Millisecond
	for n.blocked(from, to) {
		time.Sleep(repeatAfter)
		repeatAfter *= 2
	}
}

// link listens on a loopback address and forwards what one host sends to the named target. What a cut holds up arrives after
// the heal; a connection that is opened during the cut never leads anywhere.
func (n *network) link(from, name, target string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	key := [2]string{from, target}
	if address, ok := n.links[key]; ok {
		return address
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return target
	}
	n.links[key] = listener.Addr().String()
	go func() {
		for {
			accepted, err := listener.Accept()
			if err != nil {
				return
			}
			go n.forward(accepted.(*net.TCPConn), from, name, target)
		}
	}()
	return n.links[key]
}

func (n *network) forward(caller *net.TCPConn, from, name, target string) {
	defer func() { _ = caller.Close() }()
	if n.blocked(from, name) {
		_, _ = io.Copy(io.Discard, caller)
		return
	}
	dialed, err := net.Dial("tcp", target)
	if err != nil {
		_ = caller.SetLinger(0)
		return
	}
	called := dialed.(*net.TCPConn)
	n.mu.Lock()
	n.callers[called.LocalAddr().String()] = from
	n.mu.Unlock()
	defer func() { _ = called.Close() }()
	var both sync.WaitGroup
	both.Go(func() { n.pass(called, caller, from, name) })
	both.Go(func() { n.pass(caller, called, from, name) })
	both.Wait()
}

func (n *network) pass(to, from *net.TCPConn, one, other string) {
	buffer := make([]byte, 32<<10)
	for {
		count, err := from.Read(buffer)
		n.await(one, other)
		if count > 0 {
			if _, err := to.Write(buffer[:count]); err != nil {
				return
			}
		}
		switch {
		case err == io.EOF:
			_ = to.CloseWrite()
			return
		case err != nil:
			_ = to.SetLinger(0)
			_ = to.Close()
			return
		}
	}
}

// caller returns the host whose link has called from the address.
func (n *network) caller(address string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.callers[address]
}
