package cell

// compareOrder orders waiting jobs: started ones first, since one late task delays the whole job, and then by latest
// start time.
func (c *Cell) compareOrder(a, b *Job) int {
	if a.Started() != b.Started() {
		if a.Started() {
			return -1
		}
		return 1
	}
	if order := c.latestStart(a).Compare(c.latestStart(b)); order != 0 {
		return order
	}
	return int(a.seq - b.seq)
}

// isAhead reports whether the other waiting job starts before the job.
func (c *Cell) isAhead(other, job *Job) bool {
	return other.Started() || !c.latestStart(other).After(c.latestStart(job))
}
