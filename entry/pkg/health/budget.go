package health

// maxBudget is the initial retry budget of a group and the most that it can accumulate.
const maxBudget = 10

// retryBudget limits the retries of one group to a share of its first starts.
type retryBudget struct {
	tokens float64
}

func newRetryBudget() *retryBudget {
	return &retryBudget{tokens: maxBudget}
}

// earn adds the retries earned by one first start.
func (b *retryBudget) earn(share float64) {
	b.tokens = min(b.tokens+share, maxBudget)
}

// take spends one retry and reports whether one was left.
func (b *retryBudget) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
