package breaker

// RetryBudget limits retries to a share of successes and an initial burst, so
// that retries can't multiply an overload.
type RetryBudget struct {
	tokens float64
	share  float64
	burst  float64
}

// NewRetryBudget returns a full budget that gains share tokens with each
// success and holds at most burst tokens.
func NewRetryBudget(share, burst float64) RetryBudget {
	return RetryBudget{tokens: burst, share: share, burst: burst}
}

// RecordSuccess adds share tokens, up to burst.
func (b *RetryBudget) RecordSuccess() {
	b.tokens = min(b.burst, b.tokens+b.share)
}

// Take spends a token and reports whether one was available.
func (b *RetryBudget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Tokens returns the number of tokens available. Each permits one retry.
func (b *RetryBudget) Tokens() float64 {
	return b.tokens
}
