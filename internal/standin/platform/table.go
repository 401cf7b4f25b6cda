package platform

import (
	"context"

	"connectrpc.com/connect"

	platformv1 "github.com/lentilwinch/lentilwinch/gen/platform/v1"
	"github.com/lentilwinch/lentilwinch/internal/fake"
	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/port"
)

// maxScanRows bounds the rows of a page, also when the client requests more.
const maxScanRows = 1000

// tableService serves a fake.Table.
type tableService struct {
	table *fake.Table
}

// Get implements platformv1connect.TableServiceHandler.
func (s *tableService) Get(
	ctx context.Context, r *connect.Request[platformv1.GetRequest],
) (*connect.Response[platformv1.GetResponse], error) {
	found, err := s.table.Get(ctx, r.Msg.GetKeys()...)
	return reply(&platformv1.GetResponse{Rows: wireRows(found)}, err)
}

// Scan implements platformv1connect.TableServiceHandler.
func (s *tableService) Scan(
	ctx context.Context, r *connect.Request[platformv1.ScanRequest],
) (*connect.Response[platformv1.ScanResponse], error) {
	limit := int(r.Msg.GetLimit())
	if limit <= 0 || limit > maxScanRows {
		limit = maxScanRows
	}
	found, more, err := s.table.Scan(ctx, r.Msg.GetPrefix(), r.Msg.GetAfterKey(), limit)
	return reply(&platformv1.ScanResponse{Rows: wireRows(found), More: more}, err)
}

// Commit implements platformv1connect.TableServiceHandler.
func (s *tableService) Commit(
	ctx context.Context, r *connect.Request[platformv1.CommitRequest],
) (*connect.Response[platformv1.CommitResponse], error) {
	txn, err := toTxn(r.Msg)
	if err != nil {
		return nil, wireError(err)
	}
	revision, err := s.table.Commit(ctx, txn)
	return reply(&platformv1.CommitResponse{Revision: revision}, err)
}

func toTxn(r *platformv1.CommitRequest) (port.Txn, error) {
	var txn port.Txn
	for _, c := range r.GetConditions() {
		condition, err := toCondition(c)
		if err != nil {
			return port.Txn{}, err
		}
		txn.Conditions = append(txn.Conditions, condition)
	}
	for _, w := range r.GetWrites() {
		txn.Writes = append(txn.Writes, port.Write{Key: w.GetKey(), Value: w.GetValue(), Delete: w.GetDelete()})
	}
	return txn, nil
}

func toCondition(c *platformv1.Condition) (port.Condition, error) {
	out := port.Condition{Key: c.GetKey()}
	switch want := c.GetWant().(type) {
	case *platformv1.Condition_Absent:
		out.Kind = port.Absent
	case *platformv1.Condition_Present:
		out.Kind = port.Present
	case *platformv1.Condition_Revision:
		out.Kind = port.AtRevision
		out.Revision = want.Revision
	default:
		return out, fault.New(fault.Invalid, "condition on "+c.GetKey()+" is empty")
	}
	return out, nil
}

func wireRows(in []port.Row) []*platformv1.Row {
	out := make([]*platformv1.Row, 0, len(in))
	for _, r := range in {
		out = append(out, &platformv1.Row{Key: r.Key, Value: r.Value, Revision: r.Revision})
	}
	return out
}
