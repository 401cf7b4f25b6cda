// Package platform implements a stand-in for the platform in tests and demos. One
// HTTP server serves the table service, the object store, the instance list and
// the workers with their agents. Control endpoints set faults, change the instance
// list and return the table counts and the recorded worker events.
package platform

import (
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/lentilwinch/lentilwinch/gen/platform/v1/platformv1connect"
	"github.com/lentilwinch/lentilwinch/internal/fake"
	"github.com/lentilwinch/lentilwinch/internal/standin/control"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// maxMessageBytes bounds a request message.
const maxMessageBytes = 16 << 20

// Options configures the platform.
type Options struct {
	Fleet     Fleet
	Instances []structs.Instance
	// InstanceLag is the time until List calls show a change of the instance list.
	InstanceLag time.Duration
	// UsageInterval is the minimum time between updates of a task's reported usage.
	UsageInterval time.Duration
	// WorkerAddress is the address of all agents in the inventory.
	WorkerAddress string
}

// Platform holds the state of the services.
type Platform struct {
	options   Options
	table     *fake.Table
	objects   *fake.Objects
	instances *fake.Instances
	workers   *fake.Workers
}

// New returns a healthy platform.
func New(o Options) *Platform {
	objects := fake.NewObjects()
	return &Platform{
		options:   o,
		table:     fake.NewTable(),
		objects:   objects,
		instances: fake.NewInstances(o.InstanceLag, o.Instances...),
		workers:   fake.NewWorkers(objects, o.UsageInterval, o.Fleet.Workers()...),
	}
}

// Handler returns the handler of the services and the control endpoints.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	limit := connect.WithReadMaxBytes(maxMessageBytes)
	mux.Handle(platformv1connect.NewTableServiceHandler(&tableService{table: p.table}, limit))
	mux.Handle(platformv1connect.NewObjectServiceHandler(&objectService{objects: p.objects}, limit))
	mux.Handle(platformv1connect.NewInstanceServiceHandler(&instanceService{instances: p.instances}, limit))
	workers := &workerService{workers: p.workers, address: p.options.WorkerAddress}
	mux.Handle(platformv1connect.NewWorkerServiceHandler(workers, limit))
	mux.HandleFunc("GET /healthz", control.ServeHealth)
	mux.HandleFunc("GET /record", p.serveRecord)
	mux.HandleFunc("POST /faults", p.serveFaults)
	mux.HandleFunc("POST /instances", p.serveInstances)
	return mux
}
