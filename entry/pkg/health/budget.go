package health

// reserve is how many retries a group may spend before its first starts have earned any, and the most that it may save up.
const reserve = 10

// budget bounds the retries of one group by a share of its starts.
type budget struct {
	left float64
}

func newBudget() *budget {
	return &budget{left: reserve}
}

// earn adds what one first start is worth.
func (b *budget) earn(share float64) {
	b.left = min(b.left+share, reserve)
}

// take spends one retry, and reports whether there was one left.
func (b *budget) take() bool {
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}
