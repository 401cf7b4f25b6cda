package backend

import (
	"context"
	"net/http"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/lentilwinch/lentilwinch/internal/fake"
	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/standin/control"
)

// Options configures each server of a pool.
type Options struct {
	Slots    int
	Services []string // accepted services; empty means any
	// MaxConns bounds the connections to each server; 0 means no limit.
	MaxConns int
}

// Pool is a set of backend servers in one process.
type Pool struct {
	members []member
}

type member struct {
	address  string
	server   *Server
	listener *control.LimitedListener
}

// NewPool opens a listener for each address. It fails with fault.Unavailable.
func NewPool(o Options, addresses []string) (*Pool, error) {
	p := &Pool{}
	for _, address := range addresses {
		l, err := control.Listen(address)
		if err != nil {
			p.close()
			return nil, err
		}
		p.members = append(p.members, member{
			address:  l.Addr().String(),
			server:   NewServer(o.Slots, o.Services...),
			listener: control.LimitConns(l, o.MaxConns),
		})
	}
	return p, nil
}

func (p *Pool) close() {
	for _, m := range p.members {
		// The listener was never used, so an error has no effect.
		_ = m.listener.Close()
	}
}

// Addresses returns the servers' addresses in order.
func (p *Pool) Addresses() []string {
	out := make([]string, 0, len(p.members))
	for _, m := range p.members {
		out = append(out, m.address)
	}
	return out
}

// Serve runs all servers until ctx ends. It fails with fault.Internal if a listener
// fails, and then stops the other servers too.
func (p *Pool) Serve(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, m := range p.members {
		group.Go(func() error { return control.Serve(ctx, m.listener, m.server.Handler()) })
	}
	return group.Wait()
}

// Control returns the handler of the pool's control endpoints.
func (p *Pool) Control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", control.ServeHealth)
	mux.HandleFunc("GET /record", p.serveRecord)
	mux.HandleFunc("POST /faults", p.serveFaults)
	return mux
}

// FaultsDocument replaces the faults of servers. The fault fields have the meaning
// of the fields of fake.BackendFaults.
type FaultsDocument struct {
	// Servers are the addresses of the servers to change; empty means all.
	Servers         []string `json:"servers,omitempty"`
	DelayMillis     int64    `json:"delay_ms,omitempty"`
	Refuse          bool     `json:"refuse,omitempty"`
	Leaving         bool     `json:"leaving,omitempty"`
	DropBeforeStart bool     `json:"drop_before_start,omitempty"`
	DropAfterStart  bool     `json:"drop_after_start,omitempty"`
	HangBeforeStart bool     `json:"hang_before_start,omitempty"`
	Hang            bool     `json:"hang,omitempty"`
	Truncate        bool     `json:"truncate,omitempty"`
	WrongID         bool     `json:"wrong_id,omitempty"`
	Duplicate       bool     `json:"duplicate,omitempty"`
}

func (d FaultsDocument) faults() fake.BackendFaults {
	return fake.BackendFaults{
		Delay:           time.Duration(d.DelayMillis) * time.Millisecond,
		Refuse:          d.Refuse,
		Leaving:         d.Leaving,
		DropBeforeStart: d.DropBeforeStart,
		DropAfterStart:  d.DropAfterStart,
		HangBeforeStart: d.HangBeforeStart,
		Hang:            d.Hang,
		Truncate:        d.Truncate,
		WrongID:         d.WrongID,
		Duplicate:       d.Duplicate,
	}
}

func (p *Pool) serveFaults(w http.ResponseWriter, r *http.Request) {
	var d FaultsDocument
	if !control.ReadDocument(w, r, &d) {
		return
	}
	addresses := p.Addresses()
	for _, address := range d.Servers {
		if !slices.Contains(addresses, address) {
			control.WriteError(w, fault.New(fault.Invalid, "no server at "+address))
			return
		}
	}
	for _, m := range p.members {
		if len(d.Servers) == 0 || slices.Contains(d.Servers, m.address) {
			m.server.backend.SetFaults(d.faults())
		}
	}
	control.WriteDocument(w, d)
}

// Record contains the records of all servers.
type Record struct {
	Servers []ServerRecord `json:"servers"`
}

// ServerRecord contains the runs and the counts of one server.
type ServerRecord struct {
	Address string      `json:"address"`
	Runs    []RunRecord `json:"runs"`
	// DroppedRuns counts the runs that are missing from Runs because the record
	// was full.
	DroppedRuns int64 `json:"dropped_runs"`
	// RejectedConns counts the connections closed because of MaxConns.
	RejectedConns int64 `json:"rejected_connections"`
}

// RunRecord is one execution of a request. Its end time is fixed at the start and
// may lie in the future.
type RunRecord struct {
	Workspace      string `json:"workspace"`
	Service        string `json:"service"`
	RequestID      string `json:"request_id"`
	Attempt        string `json:"attempt"`
	StartUnixNanos int64  `json:"start_unix_nanos"`
	EndUnixNanos   int64  `json:"end_unix_nanos"`
}

// Record returns the runs and the counts of all servers so far.
func (p *Pool) Record() Record {
	var out Record
	for _, m := range p.members {
		runs, dropped := m.server.backend.Runs()
		record := ServerRecord{
			Address:       m.address,
			Runs:          make([]RunRecord, 0, len(runs)),
			DroppedRuns:   dropped,
			RejectedConns: m.listener.Rejected(),
		}
		for _, run := range runs {
			record.Runs = append(record.Runs, toRunRecord(run))
		}
		out.Servers = append(out.Servers, record)
	}
	return out
}

func toRunRecord(r fake.Run) RunRecord {
	return RunRecord{
		Workspace:      r.Workspace,
		Service:        r.Service,
		RequestID:      r.RequestID,
		Attempt:        r.Attempt,
		StartUnixNanos: r.Start.UnixNano(),
		EndUnixNanos:   r.End.UnixNano(),
	}
}

func (p *Pool) serveRecord(w http.ResponseWriter, _ *http.Request) {
	control.WriteDocument(w, p.Record())
}
