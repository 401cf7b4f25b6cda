package platform

import (
	"context"

	"connectrpc.com/connect"

	platformv1 "github.com/lentilwinch/lentilwinch/gen/platform/v1"
	"github.com/lentilwinch/lentilwinch/internal/fake"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// objectService serves fake.Objects.
type objectService struct {
	objects *fake.Objects
}

// Put implements platformv1connect.ObjectServiceHandler.
func (s *objectService) Put(
	ctx context.Context, r *connect.Request[platformv1.PutObjectRequest],
) (*connect.Response[platformv1.PutObjectResponse], error) {
	err := s.objects.Put(ctx, r.Msg.GetName(), r.Msg.GetData())
	return reply(&platformv1.PutObjectResponse{}, err)
}

// Get implements platformv1connect.ObjectServiceHandler.
func (s *objectService) Get(
	ctx context.Context, r *connect.Request[platformv1.GetObjectRequest],
) (*connect.Response[platformv1.GetObjectResponse], error) {
	data, err := s.objects.Get(ctx, r.Msg.GetName())
	return reply(&platformv1.GetObjectResponse{Data: data}, err)
}

// instanceService serves fake.Instances.
type instanceService struct {
	instances *fake.Instances
}

// List implements platformv1connect.InstanceServiceHandler.
func (s *instanceService) List(
	ctx context.Context, _ *connect.Request[platformv1.ListInstancesRequest],
) (*connect.Response[platformv1.ListInstancesResponse], error) {
	listed, err := s.instances.List(ctx)
	resp := &platformv1.ListInstancesResponse{}
	for _, in := range listed {
		resp.Instances = append(resp.Instances, wireInstance(in))
	}
	return reply(resp, err)
}

func wireInstance(in structs.Instance) *platformv1.Instance {
	return &platformv1.Instance{
		Id:       in.ID,
		Kind:     wireKind(in.Kind),
		State:    wireState(in.State),
		Domain:   in.Domain,
		Address:  in.Address,
		Slots:    int32(in.Slots),
		Services: in.Services,
	}
}

func wireKind(k structs.InstanceKind) platformv1.InstanceKind {
	switch k {
	case structs.KindEntry:
		return platformv1.InstanceKind_INSTANCE_KIND_ENTRY
	case structs.KindBackend:
		return platformv1.InstanceKind_INSTANCE_KIND_BACKEND
	default:
		return platformv1.InstanceKind_INSTANCE_KIND_UNSPECIFIED
	}
}

func wireState(s structs.InstanceState) platformv1.InstanceState {
	switch s {
	case structs.StateLive:
		return platformv1.InstanceState_INSTANCE_STATE_LIVE
	case structs.StateLeaving:
		return platformv1.InstanceState_INSTANCE_STATE_LEAVING
	default:
		return platformv1.InstanceState_INSTANCE_STATE_UNSPECIFIED
	}
}
