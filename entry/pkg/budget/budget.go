package budget

import (
	"golang.org/x/sync/semaphore"
)

// reservePart of a budget is kept for small amounts.
const reservePart = 4

// Budget is a number of bytes of which each holder takes an amount while there is enough left.
type Budget struct {
	small, limit, largeLimit int64
	all, large               *semaphore.Weighted
}

// New returns a budget of so many bytes, a quarter of which only amounts of up to small bytes may use. A limit of 0 is no bound.
func New(limit, small int64) *Budget {
	largeLimit := limit - limit/reservePart
	return &Budget{
		small: small, limit: limit, largeLimit: largeLimit,
		all: semaphore.NewWeighted(limit), large: semaphore.NewWeighted(largeLimit),
	}
}

// TryTake takes so many bytes, and reports whether they were left. What is more than the budget is granted to one holder alone.
func (b *Budget) TryTake(bytes int64) bool {
	if b.limit == 0 {
		return true
	}
	all, large := b.parts(bytes)
	if !b.large.TryAcquire(large) {
		return false
	}
	if !b.all.TryAcquire(all) {
		b.large.Release(large)
		return false
	}
	return true
}

// Release gives an amount back that was taken at once.
func (b *Budget) Release(bytes int64) {
	if b.limit == 0 {
		return
	}
	all, large := b.parts(bytes)
	b.all.Release(all)
	b.large.Release(large)
}

// parts returns what an amount takes of the whole, and of the part for large amounts.
func (b *Budget) parts(bytes int64) (all, large int64) {
	if bytes > b.small {
		large = min(bytes, b.largeLimit)
	}
	return min(bytes, b.limit), large
}
