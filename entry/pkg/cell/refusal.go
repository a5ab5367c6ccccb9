package cell

// HasBlockedTasks reports whether a worker may carry out an earlier start of any task, whose job must not be refused.
func (c *Cell) HasBlockedTasks() bool {
	return len(c.unsettled.blocking) > 0
}
