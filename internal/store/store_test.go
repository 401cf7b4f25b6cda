package store

import (
	"context"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/fault"
)

func TestCommitRejectsTransactionWithoutConditionOnWrittenRow(t *testing.T) {
	s := New(nil, "w")
	_, err := s.Commit(context.Background(), new(Txn).Put("a", 1))
	must.Eq(t, fault.Internal, fault.CodeOf(err))
}
