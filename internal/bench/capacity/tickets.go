package capacity

import (
	"context"
	"encoding/json"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/lentilwinch/lentilwinch/internal/duty/config"
	"github.com/lentilwinch/lentilwinch/internal/fake"
	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/scheduler"
	"github.com/lentilwinch/lentilwinch/internal/store"
	"github.com/lentilwinch/lentilwinch/internal/structs"
	"github.com/lentilwinch/lentilwinch/internal/ticket"
)

const (
	// ticketApplications is the number of ticket applications timed together.
	ticketApplications = 200
	// ticketRepeats is the number of tickets parsed or accepted in sequence.
	ticketRepeats = 10
	// placementChecks is the number of placement checks timed together.
	placementChecks = 100
	// manyTickets exceeds the number of tickets that an instance fetches one by
	// one.
	manyTickets = 66
)

func configExperiments() []Experiment {
	return []Experiment{
		{
			Per:   "workspace with two services",
			Sizes: []int{58, 115, 230, 460},
			Outputs: []Output{
				{"ticket.apply.cpu", "one workspace's ticket comes into force", "ns"},
				{"config.bytes", "whole configuration between peers", "B"},
			},
			Run: runApply,
		},
		{
			Per:   "workspace stated in a ticket",
			Sizes: []int{1, 8, 64},
			Outputs: []Output{
				{"ticket.bytes", "ticket document", "B"},
				{"ticket.parse.cpu", "parse and check against the schema", "ns"},
				{"ticket.rows.written", "acceptance: rows written", "rows"},
			},
			Run: runTicket,
		},
		{
			Per:   "instance of the region",
			Sizes: []int{2, 4, 8, 16},
			Outputs: []Output{
				{"ticket.rows.read", "rows read for one ticket by all", "rows"},
				{"ticket.reads", "reads for one ticket by all", "calls"},
			},
			Run: runPropagation,
		},
		{
			Per:     "workspace with two services",
			Sizes:   []int{16, 64, 256},
			Outputs: []Output{{"config.load.rows", "an instance starts: rows read", "rows"}},
			Run:     runConfigLoad,
		},
		{
			Per:     "guarantee in the failure domain, 320 workers",
			Sizes:   []int{6, 12, 23, 46},
			Outputs: []Output{{"ticket.holds.cpu", "acceptance: do the shapes fit", "ns"}},
			Run:     runPlacementCheck,
		},
	}
}

func encodeTicket(t structs.Ticket) ([]byte, error) {
	raw, err := json.Marshal(t)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, "encode ticket", err)
	}
	return raw, nil
}

func runApply(_ context.Context, n int) ([]float64, error) {
	cfg := newConfig(workspaces(n, domainName, 2))
	small := newTicket(2, workspaces(1, domainName, 2))
	cpu := cpuOf(func() {
		for range ticketApplications {
			ticket.Apply(cfg, small)
		}
	})
	m := port.PeerConfig{Number: 1}
	for _, w := range cfg.Workspaces {
		m.Workspaces = append(m.Workspaces, w)
	}
	for _, s := range cfg.Services {
		m.Services = append(m.Services, s)
	}
	raw, err := cbor.Marshal(port.PeerMessage{Config: &m})
	if err != nil {
		return nil, fault.Wrap(fault.Internal, "encode configuration", err)
	}
	return []float64{cpu / ticketApplications, float64(len(raw))}, nil
}

// newKeeper returns a configuration keeper that, after its first read, reads the
// table only when woken or when it accepts a ticket.
func newKeeper(table *fake.Table, writer string) *config.Keeper {
	fleet := func() ticket.Fleet { return ticket.Fleet{Domains: []string{domainName}} }
	s := config.Settings{PollInterval: disabledInterval, ReadTimeout: time.Second, StaleAfter: disabledInterval}
	return config.New(s, store.New(table, writer), noPeers{}, noPeers{}, fleet, zap.NewNop())
}

func runTicket(ctx context.Context, n int) ([]float64, error) {
	doc, err := encodeTicket(newTicket(1, workspaces(n, domainName, 2)))
	if err != nil {
		return nil, err
	}
	var parseErr error
	cpu := cpuOf(func() {
		for range ticketRepeats {
			if _, err := ticket.Parse(doc); err != nil {
				parseErr = err
			}
		}
	})
	if parseErr != nil {
		return nil, parseErr
	}
	table := fake.NewTable()
	if _, err := newKeeper(table, "a").Accept(ctx, doc); err != nil {
		return nil, err
	}
	return []float64{float64(len(doc)), cpu / ticketRepeats, float64(table.Counts().RowsWritten)}, nil
}

// runPropagation accepts tickets at one instance and wakes the others to read them.
func runPropagation(ctx context.Context, instances int) ([]float64, error) {
	table := fake.NewTable()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	keepers := make([]*config.Keeper, instances)
	for i := range keepers {
		keepers[i] = newKeeper(table, string(rune('a'+i)))
		go func() { _ = keepers[i].Run(ctx) }()
	}
	// Each keeper reads the version row once as it starts.
	if err := await(ctx, "wait for first reads", func() bool { return table.Counts().Reads >= int64(instances) }); err != nil {
		return nil, err
	}
	before := table.Counts()
	for number := int64(1); number <= ticketRepeats; number++ {
		if err := acceptAndPropagate(ctx, keepers, number); err != nil {
			return nil, err
		}
	}
	c := table.Counts()
	return []float64{
		float64(c.RowsRead-before.RowsRead) / ticketRepeats,
		float64(c.Reads-before.Reads) / ticketRepeats,
	}, nil
}

func acceptAndPropagate(ctx context.Context, keepers []*config.Keeper, number int64) error {
	doc, err := encodeTicket(newTicket(number, workspaces(1, domainName, 2)))
	if err != nil {
		return err
	}
	if _, err := keepers[0].Accept(ctx, doc); err != nil {
		return err
	}
	for _, k := range keepers[1:] {
		k.Wake()
	}
	return await(ctx, "wait for ticket to come into force", func() bool {
		for _, k := range keepers {
			if k.Current().Number < number {
				return false
			}
		}
		return true
	})
}

// runConfigLoad starts an instance after so many tickets that it reads all workspaces
// and services in force instead of the tickets.
func runConfigLoad(ctx context.Context, n int) ([]float64, error) {
	table := fake.NewTable()
	first := newKeeper(table, "a")
	for number := int64(1); number <= manyTickets; number++ {
		count := 1
		if number == 1 {
			count = n
		}
		doc, err := encodeTicket(newTicket(number, workspaces(count, domainName, 2)))
		if err != nil {
			return nil, err
		}
		if _, err := first.Accept(ctx, doc); err != nil {
			return nil, err
		}
	}
	before := table.Counts()
	fresh := newKeeper(table, "b")
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() { _ = fresh.Run(ctx) }()
	err := await(ctx, "wait for configuration", func() bool { return fresh.Current().Number == manyTickets })
	return []float64{float64(table.Counts().RowsRead - before.RowsRead)}, err
}

// runPlacementCheck places all guarantees on an empty failure domain, as the check
// of a ticket does.
func runPlacementCheck(_ context.Context, n int) ([]float64, error) {
	s := snapshot(domainWorkers, n, 0)
	s.Gangs = nil
	cpu := cpuOf(func() {
		for range placementChecks {
			scheduler.Decide(s)
		}
	})
	return []float64{cpu / placementChecks}, nil
}
