package keylease

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func TestZeroPolicyAcceptsKeysOfAnyAge(t *testing.T) {
	must.True(t, Policy{}.Accepts(time.Hour, 0))
}

// A key that was withdrawn right after the reading is refused in time, even by a
// clock that is 2% slow.
func TestLeaseEndsBeforeWithdrawalMustBeInForce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := Policy{RevokeWithin: time.Duration(rapid.Int64Range(1, int64(time.Minute)).Draw(t, "within"))}
		age := time.Duration(rapid.Int64Range(0, int64(2*time.Minute)).Draw(t, "age"))
		slow := time.Duration(float64(age) * 0.98)
		if p.Accepts(slow, 0) {
			must.Less(t, p.RevokeWithin, age)
		}
	})
}

func TestKeysAreAcceptedForMostOfTheBound(t *testing.T) {
	p := Policy{RevokeWithin: 5 * time.Second}
	must.True(t, p.Accepts(4*time.Second, 0))
	must.False(t, p.Accepts(4650*time.Millisecond, 0))
}
