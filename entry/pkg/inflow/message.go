package inflow

import "net"

// BeginCall tells that the message of a call was read whole and decoded, so that its connection holds nothing of it.
func BeginCall(raw net.Conn) {
	setCalling(raw, serving)
}

// EndCall tells that a call was answered.
func EndCall(raw net.Conn) {
	setCalling(raw, idle)
}

func setCalling(raw net.Conn, phase phase) {
	c := countedOf(raw)
	if c == nil {
		return
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	if c.condemned {
		return
	}
	c.budget.release(c)
	c.budget.setPhase(c, phase)
	c.budget.turn++
	c.progress = c.budget.turn
}
