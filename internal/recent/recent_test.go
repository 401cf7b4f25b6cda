package recent

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestSumCoversOnlyTheSpan(t *testing.T) {
	w := New(2 * time.Second)
	at := time.Unix(0, 0)
	w.Add(at, "a", 3)
	w.Add(at.Add(time.Second), "a", 4)
	w.Add(at.Add(time.Second), "b", 5)
	must.Eq(t, 7, w.Sum(at.Add(time.Second), "a"))
	must.Eq(t, 4, w.Sum(at.Add(2*time.Second), "a"))
	must.Eq(t, 0, w.Sum(at.Add(3*time.Second), "b"))
}
