package platform

import (
	"context"

	"connectrpc.com/connect"

	platformv1 "github.com/lentilwinch/lentilwinch/gen/platform/v1"
	"github.com/lentilwinch/lentilwinch/gen/platform/v1/platformv1connect"
	"github.com/lentilwinch/lentilwinch/internal/adapter/httpclient"
	"github.com/lentilwinch/lentilwinch/internal/port"
)

// Table implements port.Table. It is safe for concurrent use.
type Table struct {
	settings Settings
	http     *httpclient.Client
	client   platformv1connect.TableServiceClient
}

// NewTable returns a client of the table service.
func NewTable(s Settings) *Table {
	client := s.client(s.MaxServiceConns)
	return &Table{
		settings: s,
		http:     client,
		client:   platformv1connect.NewTableServiceClient(client, baseURL(s.Address), options(s)...),
	}
}

// Get implements port.Table.
func (t *Table) Get(ctx context.Context, keys ...string) ([]port.Row, error) {
	op := operation{name: "table get", closeIdle: t.http.CloseIdle}
	req := &platformv1.GetRequest{Keys: keys}
	resp, err := call(ctx, op, t.settings.ReadTimeout, t.client.Get, req)
	if err != nil {
		return nil, err
	}
	return rows(resp.GetRows()), nil
}

// Scan implements port.Table.
func (t *Table) Scan(ctx context.Context, prefix, after string, limit int) ([]port.Row, bool, error) {
	op := operation{name: "table scan", closeIdle: t.http.CloseIdle}
	req := &platformv1.ScanRequest{Prefix: prefix, AfterKey: after, Limit: int32(limit)}
	resp, err := call(ctx, op, t.settings.ReadTimeout, t.client.Scan, req)
	if err != nil {
		return nil, false, err
	}
	return rows(resp.GetRows()), resp.GetMore(), nil
}

// Commit implements port.Table.
func (t *Table) Commit(ctx context.Context, txn port.Txn) (int64, error) {
	op := operation{name: "table commit", mutates: true, closeIdle: t.http.CloseIdle}
	resp, err := call(ctx, op, t.settings.CommitTimeout, t.client.Commit, commitRequest(txn))
	if err != nil {
		return 0, err
	}
	return resp.GetRevision(), nil
}

func commitRequest(txn port.Txn) *platformv1.CommitRequest {
	req := &platformv1.CommitRequest{}
	for _, c := range txn.Conditions {
		req.Conditions = append(req.Conditions, condition(c))
	}
	for _, w := range txn.Writes {
		req.Writes = append(req.Writes, &platformv1.Write{Key: w.Key, Value: w.Value, Delete: w.Delete})
	}
	return req
}

func condition(c port.Condition) *platformv1.Condition {
	out := &platformv1.Condition{Key: c.Key}
	switch c.Kind {
	case port.Absent:
		out.Want = &platformv1.Condition_Absent{Absent: true}
	case port.Present:
		out.Want = &platformv1.Condition_Present{Present: true}
	default:
		out.Want = &platformv1.Condition_Revision{Revision: c.Revision}
	}
	return out
}

func rows(in []*platformv1.Row) []port.Row {
	out := make([]port.Row, 0, len(in))
	for _, r := range in {
		out = append(out, port.Row{Key: r.GetKey(), Value: r.GetValue(), Revision: r.GetRevision()})
	}
	return out
}

func baseURL(address string) string {
	return "http://" + address
}

func options(s Settings) []connect.ClientOption {
	return []connect.ClientOption{
		connect.WithReadMaxBytes(int(s.MaxAnswerBytes)),
		// Responses are not compressed, so that their size equals the size on the
		// wire.
		connect.WithAcceptCompression("gzip", nil, nil),
	}
}
