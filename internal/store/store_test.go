package store

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/fake"
	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/port"
)

func TestCommitRejectsTransactionWithoutConditionOnWrittenRow(t *testing.T) {
	s := New(nil, "w")
	_, err := s.Commit(context.Background(), new(Txn).Put("a", 1))
	must.Eq(t, fault.Internal, fault.CodeOf(err))
}

// Guards against rows that can't be read because they are more than fit into one timeout.
func TestPageTimeoutDoesNotLimitTheNumberOfRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const pages, timeout = 5, time.Second
		table := fake.NewTable()
		for i := range pages * scanPageRows {
			_, err := table.Commit(t.Context(), port.Txn{Writes: []port.Write{{Key: fmt.Sprintf("p/%d", i), Value: []byte{1}}}})
			must.NoError(t, err)
		}
		s := New(table, "w")
		table.SetFaults(fake.TableFaults{Delay: timeout / 2})
		rows, err := s.ScanAll(t.Context(), "p/", timeout)
		must.NoError(t, err)
		must.Len(t, pages*scanPageRows, rows)
		table.SetFaults(fake.TableFaults{Delay: 2 * timeout})
		_, err = s.ScanAll(t.Context(), "p/", timeout)
		must.Eq(t, fault.Unavailable, fault.CodeOf(err))
	})
}
