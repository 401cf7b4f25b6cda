package jobs

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/fake"
	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/store"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// noPeers is a port.Peers without peers.
type noPeers struct{ port.Peers }

func (noPeers) Broadcast(port.PeerMessage) {}

func (noPeers) Live() []port.PeerInfo { return nil }

func newJobs(table port.Table, writer string) *Jobs {
	config := func() *structs.Config {
		return &structs.Config{Workspaces: map[string]structs.Workspace{"grading": {Name: "grading"}}}
	}
	none := func() []port.DomainSummary { return nil }
	return New(store.New(table, writer), noPeers{}, []string{"north", "south"}, config, none, func(string) {})
}

func spec(id string) structs.JobSpec {
	return structs.JobSpec{
		Key:          structs.JobKey{Workspace: "grading", ID: id},
		Members:      2,
		Accelerators: 4,
		Adjacency:    structs.AdjacencyRack,
		Class:        structs.ClassNormal,
		Domain:       "north",
	}
}

func contextWithTimeout(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), d)
	t.Cleanup(cancel)
	return ctx
}

func countRows(t *testing.T, table *fake.Table, prefix string) int {
	t.Helper()
	list, _, err := table.Scan(t.Context(), prefix, "", 100)
	must.NoError(t, err)
	return len(list)
}

// Guards against reporting an error to a submitter whose commit conflicts or
// gets no answer although the job exists. It must read the job back.
func TestConcurrentSubmissionsCreateOneJob(t *testing.T) {
	for name, f := range map[string]fake.TableFaults{
		"healthy": {Delay: 5 * time.Millisecond}, "lost answers": {Delay: 5 * time.Millisecond, LoseReplies: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { raceSubmissions(t, f) })
		})
	}
}

func raceSubmissions(t *testing.T, f fake.TableFaults) {
	table := fake.NewTable()
	table.SetFaults(f)
	time.AfterFunc(300*time.Millisecond, func() { table.SetFaults(fake.TableFaults{}) })
	var wg sync.WaitGroup
	errs := make([]error, 4)
	for i := range errs {
		s := newJobs(table, fmt.Sprint("entry-", i))
		wg.Go(func() { _, _, errs[i] = s.Submit(contextWithTimeout(t, 2*time.Second), spec("scan")) })
	}
	wg.Wait()
	for _, err := range errs {
		must.NoError(t, err)
	}
	must.Eq(t, 1, countRows(t, table, store.JobPrefix))
	must.Eq(t, 1, countRows(t, table, store.InboxPrefix))
}

// Guards against a comparison of specifications that takes a different job
// with the same ID for the existing one.
func TestSubmitRejectsIDOfDifferentJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newJobs(fake.NewTable(), "entry")
		_, _, err := s.Submit(t.Context(), spec("scan"))
		must.NoError(t, err)
		other := spec("scan")
		other.Payload = []byte("other")
		_, _, err = s.Submit(t.Context(), other)
		must.Eq(t, fault.Exists, fault.CodeOf(err))
	})
}

func TestSubmitReportsEveryInvalidField(t *testing.T) {
	s := newJobs(fake.NewTable(), "entry")
	bad := structs.JobSpec{Key: structs.JobKey{ID: "a b"}, Members: maxMembers + 1, DeclaredRun: -1, Domain: "west", Payload: make([]byte, maxPayloadBytes+1)}
	_, _, err := s.Submit(t.Context(), bad)
	var rejection *fault.Error
	must.True(t, asFault(err, &rejection))
	var paths []string
	for _, p := range rejection.Problems {
		paths = append(paths, p.Path)
	}
	must.Eq(t, []string{"job_id", "members", "accelerators", "adjacency", "class", "declared_run_ms", "payload", "domain"}, paths)
	unknown := spec("scan")
	unknown.Key.Workspace = "other"
	_, _, err = s.Submit(t.Context(), unknown)
	must.Eq(t, fault.NotFound, fault.CodeOf(err))
}

func asFault(err error, into **fault.Error) bool {
	f, ok := err.(*fault.Error)
	*into = f
	return ok
}

// Guards against storing a cancellation without a condition on the job's row.
// If the job moves meanwhile, the cancellation stays in the inbox of the old
// domain, which the owner of the new domain doesn't read.
func TestCancelFollowsJobToNewDomain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := fake.NewTable()
		s := newJobs(table, "entry")
		j, revision, err := s.Submit(t.Context(), spec("scan"))
		must.NoError(t, err)
		j.Domain = "south"
		hooked := &hookTable{Table: table, beforeCommit: func() {
			_, err := store.New(table, "owner").Commit(t.Context(), new(store.Txn).Update(store.JobKey(j.Spec.Key), revision, j))
			must.NoError(t, err)
		}}
		_, _, err = newJobs(hooked, "other").Cancel(t.Context(), j.Spec.Key)
		must.NoError(t, err)
		must.Zero(t, countRows(t, table, store.CancellationKey("north", j.Spec.Key)))
		must.Eq(t, 1, countRows(t, table, store.CancellationKey("south", j.Spec.Key)))
		_, _, err = s.Cancel(t.Context(), j.Spec.Key)
		must.NoError(t, err)
		must.Eq(t, 1, countRows(t, table, store.InboxDomainPrefix("south")))
	})
}

// hookTable is a table that calls beforeCommit once, before the first commit.
type hookTable struct {
	port.Table
	beforeCommit func()
	once         sync.Once
}

func (h *hookTable) Commit(ctx context.Context, txn port.Txn) (int64, error) {
	h.once.Do(h.beforeCommit)
	return h.Table.Commit(ctx, txn)
}

func TestListReturnsEachJobOnce(t *testing.T) {
	s := newJobs(fake.NewTable(), "entry")
	for i := range 7 {
		_, _, err := s.Submit(t.Context(), spec(fmt.Sprint("scan-", i)))
		must.NoError(t, err)
	}
	var seen []string
	after := ""
	for more := true; more; {
		var list []structs.Job
		var err error
		list, more, err = s.List(t.Context(), "grading", after, 3)
		must.NoError(t, err)
		for _, j := range list {
			after = j.Spec.Key.ID
			seen = append(seen, after)
		}
	}
	must.Eq(t, []string{"scan-0", "scan-1", "scan-2", "scan-3", "scan-4", "scan-5", "scan-6"}, seen)
}

func TestWatchContinuesAfterTableOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := fake.NewTable()
		s := newJobs(table, "entry")
		j, revision, err := s.Submit(t.Context(), spec("scan"))
		must.NoError(t, err)
		time.AfterFunc(time.Second, func() { table.SetFaults(fake.TableFaults{Down: true}) })
		time.AfterFunc(time.Minute, func() {
			table.SetFaults(fake.TableFaults{})
			j.State = structs.JobSucceeded
			_, _ = store.New(table, "owner").Commit(context.Background(), new(store.Txn).Update(store.JobKey(j.Spec.Key), revision, j))
		})
		var states []structs.JobState
		must.NoError(t, s.Watch(t.Context(), j.Spec.Key, func(j structs.Job, _ int64) error {
			states = append(states, j.State)
			return nil
		}))
		must.Eq(t, []structs.JobState{structs.JobQueued, structs.JobSucceeded}, states)
		must.Eq(t, fault.NotFound, fault.CodeOf(s.Watch(t.Context(), spec("none").Key, nil)))
	})
}
