package platform

import (
	"context"

	platformv1 "github.com/lentilwinch/lentilwinch/gen/platform/v1"
	"github.com/lentilwinch/lentilwinch/gen/platform/v1/platformv1connect"
	"github.com/lentilwinch/lentilwinch/internal/adapter/httpclient"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// Instances implements port.Instances. It is safe for concurrent use.
type Instances struct {
	settings Settings
	http     *httpclient.Client
	client   platformv1connect.InstanceServiceClient
}

// NewInstances returns a client of the instance list.
func NewInstances(s Settings) *Instances {
	client := s.client(s.MaxServiceConns)
	return &Instances{
		settings: s,
		http:     client,
		client:   platformv1connect.NewInstanceServiceClient(client, baseURL(s.Address), options(s)...),
	}
}

// List implements port.Instances. Instances of an unknown kind are skipped.
func (i *Instances) List(ctx context.Context) ([]structs.Instance, error) {
	op := operation{name: "instance list", closeIdle: i.http.CloseIdle}
	req := &platformv1.ListInstancesRequest{}
	resp, err := call(ctx, op, i.settings.ReadTimeout, i.client.List, req)
	if err != nil {
		return nil, err
	}
	out := make([]structs.Instance, 0, len(resp.GetInstances()))
	for _, in := range resp.GetInstances() {
		if instance, ok := instanceOf(in); ok {
			out = append(out, instance)
		}
	}
	return out, nil
}

// instanceOf converts an instance. The result is false if its kind is unknown.
func instanceOf(in *platformv1.Instance) (structs.Instance, bool) {
	kind, ok := kindOf(in.GetKind())
	return structs.Instance{
		ID:       in.GetId(),
		Kind:     kind,
		State:    stateOf(in.GetState()),
		Domain:   in.GetDomain(),
		Address:  in.GetAddress(),
		Slots:    int(in.GetSlots()),
		Services: in.GetServices(),
	}, ok
}

func kindOf(k platformv1.InstanceKind) (structs.InstanceKind, bool) {
	switch k {
	case platformv1.InstanceKind_INSTANCE_KIND_ENTRY:
		return structs.KindEntry, true
	case platformv1.InstanceKind_INSTANCE_KIND_BACKEND:
		return structs.KindBackend, true
	default:
		return 0, false
	}
}

// stateOf maps every state except live to leaving, so that new work is assigned
// only to instances and workers that the platform reports as live.
func stateOf(s platformv1.InstanceState) structs.InstanceState {
	if s == platformv1.InstanceState_INSTANCE_STATE_LIVE {
		return structs.StateLive
	}
	return structs.StateLeaving
}
