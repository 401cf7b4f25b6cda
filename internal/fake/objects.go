package fake

import (
	"bytes"
	"context"
	"slices"
	"sync"

	"github.com/lentilwinch/lentilwinch/internal/fault"
)

// Objects is an in-memory object store. It is safe for concurrent use.
type Objects struct {
	injector faultInjector
	mu       sync.Mutex
	objects  map[string][]byte
}

// NewObjects returns an empty, healthy store.
func NewObjects() *Objects {
	return &Objects{objects: make(map[string][]byte)}
}

// SetFaults replaces the store's faults.
func (o *Objects) SetFaults(f Faults) {
	o.injector.set(f)
}

// Put implements port.Objects. Objects are immutable: it fails with
// fault.Refused, also with LoseReplies, if the object exists with other data. Put
// can be repeated, so a lost reply results in fault.Unavailable and not in
// fault.Uncertain.
func (o *Objects) Put(ctx context.Context, name string, data []byte) error {
	faults, err := o.injector.beforeRead(ctx, "object put")
	if err != nil {
		return err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if old, ok := o.objects[name]; ok && !bytes.Equal(old, data) {
		return fault.New(fault.Refused, "object exists with other data")
	}
	o.objects[name] = slices.Clone(data)
	if faults.LoseReplies {
		return fault.New(fault.Unavailable, "answer was lost")
	}
	return nil
}

// Get implements port.Objects.
func (o *Objects) Get(ctx context.Context, name string) ([]byte, error) {
	if _, err := o.injector.beforeRead(ctx, "object get"); err != nil {
		return nil, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	data, ok := o.objects[name]
	if !ok {
		return nil, fault.New(fault.NotFound, "object doesn't exist")
	}
	return slices.Clone(data), nil
}
