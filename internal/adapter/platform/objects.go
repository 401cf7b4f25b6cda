package platform

import (
	"context"

	platformv1 "github.com/lentilwinch/lentilwinch/gen/platform/v1"
	"github.com/lentilwinch/lentilwinch/gen/platform/v1/platformv1connect"
	"github.com/lentilwinch/lentilwinch/internal/adapter/httpclient"
	"github.com/lentilwinch/lentilwinch/internal/fault"
)

// Objects implements port.Objects. It is safe for concurrent use.
type Objects struct {
	settings Settings
	http     *httpclient.Client
	client   platformv1connect.ObjectServiceClient
}

// NewObjects returns a client of the object store.
func NewObjects(s Settings) *Objects {
	client := s.client(s.MaxServiceConns)
	return &Objects{
		settings: s,
		http:     client,
		client:   platformv1connect.NewObjectServiceClient(client, baseURL(s.Address), options(s)...),
	}
}

// Put implements port.Objects. An unanswered put fails with fault.Unavailable, like
// one that had no effect, because objects are immutable and it may be repeated.
func (o *Objects) Put(ctx context.Context, name string, data []byte) error {
	op := operation{name: "object put", closeIdle: o.http.CloseIdle}
	req := &platformv1.PutObjectRequest{Name: name, Data: data}
	_, err := call(ctx, op, o.settings.ObjectTimeout, o.client.Put, req)
	return err
}

// Get implements port.Objects.
func (o *Objects) Get(ctx context.Context, name string) ([]byte, error) {
	op := operation{name: "object get", notFound: fault.NotFound, closeIdle: o.http.CloseIdle}
	req := &platformv1.GetObjectRequest{Name: name}
	resp, err := call(ctx, op, o.settings.ObjectTimeout, o.client.Get, req)
	if err != nil {
		return nil, err
	}
	return resp.GetData(), nil
}
