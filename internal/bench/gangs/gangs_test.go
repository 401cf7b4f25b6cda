package gangs

import (
	"os"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/bench/table"
	"github.com/lentilwinch/lentilwinch/internal/scheduler"
)

func TestSameSeedGivesSameMetrics(t *testing.T) {
	must.Eq(t, measure(run(1, scheduler.Decide)), measure(run(1, scheduler.Decide)))
}

func BenchmarkRows(b *testing.B) {
	for b.Loop() {
		_, err := table.Write(os.Stdout, Rows(), nil)
		must.NoError(b, err)
	}
}
