// Package jobs serves job operations at any instance. It writes submissions
// and cancellations to the table, where the owner of the failure domain reads
// them, and reads job rows.
package jobs

import (
	"bytes"
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/duty/gangs"
	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/gang"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/recent"
	"github.com/lentilwinch/lentilwinch/internal/scheduler"
	"github.com/lentilwinch/lentilwinch/internal/store"
	"github.com/lentilwinch/lentilwinch/internal/structs"
	"github.com/lentilwinch/lentilwinch/internal/wait"
)

const (
	// maxCancelAttempts bounds the attempts to cancel a job that changes
	// concurrently.
	maxCancelAttempts = 20
	// minWatchInterval and maxWatchInterval bound the time between two reads
	// of a watched job, which doubles while the job doesn't change.
	minWatchInterval = 250 * time.Millisecond
	maxWatchInterval = 2 * time.Second
)

// Jobs submits, reads and cancels jobs. It is safe for concurrent use.
type Jobs struct {
	store   *store.Store
	peers   port.Peers
	domains []string
	config  func() *structs.Config
	// localSummaries returns the summaries of the failure domains that this
	// instance owns. wake makes it read the inbox of one of them.
	localSummaries func() []port.DomainSummary
	wake           func(domain string)

	mu sync.Mutex
	// recentDemand sums the accelerators of the jobs for which a failure domain
	// was chosen here within summaryLag, by that domain. It leaves out jobs that
	// name their domain.
	recentDemand *recent.Window
	rand         *rand.Rand
}

// New returns a Jobs for the failure domains of a region.
func New(st *store.Store, peers port.Peers, domains []string, config func() *structs.Config, localSummaries func() []port.DomainSummary, wake func(string)) *Jobs {
	return &Jobs{
		store:          st,
		peers:          peers,
		domains:        domains,
		config:         config,
		localSummaries: localSummaries,
		wake:           wake,
		recentDemand:   recent.New(summaryLag),
		rand:           rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// Submit queues a job and returns it with the revision of its row.
// Resubmitting the same specification returns the current job. It fails with
// fault.Invalid, with fault.NotFound for an unknown workspace, with
// fault.Exists if the ID is in use for a different job, and with
// fault.Unavailable or fault.Uncertain from the table. If another submission of
// the ID came first, it fails with the errors of Get if that job can't be read.
func (js *Jobs) Submit(ctx context.Context, spec structs.JobSpec) (structs.Job, int64, error) {
	if err := js.validate(spec); err != nil {
		return structs.Job{}, 0, err
	}
	j := gang.NewJob(spec, js.chooseDomain(spec), time.Now())
	revision, err := js.store.Commit(ctx, submission(j))
	switch fault.CodeOf(err) {
	case "":
		js.wakeOwner(j.Domain)
		return j, revision, nil
	case fault.Conflict:
		return js.existing(ctx, spec)
	case fault.Uncertain:
		if j, revision, readErr := js.existing(ctx, spec); readErr == nil {
			return j, revision, nil
		}
		return structs.Job{}, 0, err
	default:
		return structs.Job{}, 0, err
	}
}

func submission(j structs.Job) *store.Txn {
	k := j.Spec.Key
	txn := new(store.Txn).Create(store.JobKey(k), j)
	txn.Put(store.QueueKey(j.Domain, k), gangs.QueueRecord{Key: k})
	return txn.Put(store.SubmissionKey(j.Domain, k), gangs.InboxRecord{Key: k})
}

// existing returns the stored job with the key of spec and the revision of its
// row. It fails with fault.Exists if the job has a different specification, and
// with the errors of Get.
func (js *Jobs) existing(ctx context.Context, spec structs.JobSpec) (structs.Job, int64, error) {
	j, revision, err := js.Get(ctx, spec.Key)
	if err != nil {
		return structs.Job{}, 0, err
	}
	if !sameSpec(j.Spec, spec) {
		return structs.Job{}, 0, fault.New(fault.Exists, "job "+spec.Key.String()+" exists with a different specification")
	}
	return j, revision, nil
}

func sameSpec(a, b structs.JobSpec) bool {
	samePayload := bytes.Equal(a.Payload, b.Payload)
	a.Payload, b.Payload = nil, nil
	return samePayload && a.Members == b.Members && a.Accelerators == b.Accelerators &&
		a.Adjacency == b.Adjacency && a.Class == b.Class && a.Preemptible == b.Preemptible &&
		a.DeclaredRun == b.DeclaredRun && a.Domain == b.Domain && a.Service == b.Service
}

// wakeOwner notifies the owner of a failure domain that its inbox has a new
// row.
func (js *Jobs) wakeOwner(domain string) {
	js.wake(domain)
	js.peers.Broadcast(port.PeerMessage{Notice: &port.PeerNotice{Domain: domain}})
}

// Get returns a job and the revision of its row. The reason of a job that waits in
// an evacuated failure domain names it. It fails with fault.NotFound, with
// fault.Unavailable, and with fault.Invalid if the row can't be decoded.
func (js *Jobs) Get(ctx context.Context, k structs.JobKey) (structs.Job, int64, error) {
	rows, err := js.store.Get(ctx, store.JobKey(k))
	if err != nil {
		return structs.Job{}, 0, err
	}
	row, ok := rows[store.JobKey(k)]
	if !ok {
		return structs.Job{}, 0, fault.New(fault.NotFound, "job "+k.String()+" doesn't exist")
	}
	var j structs.Job
	if err := store.Decode(row, &j); err != nil {
		return structs.Job{}, 0, err
	}
	return js.withEvacuatedReason(j), row.Revision, nil
}

// withEvacuatedReason sets the reason of a job that waits in a failure domain that
// is evacuated. Wait reasons aren't stored, because each change would be a write.
func (js *Jobs) withEvacuatedReason(j structs.Job) structs.Job {
	if j.State == structs.JobQueued && js.config().Evacuated[j.Domain] {
		j.Reason = scheduler.EvacuatedReason(j.Domain)
	}
	return j
}

// List returns up to limit jobs of a workspace whose IDs follow after, ordered by
// ID, and whether there are more. It fails with fault.Unavailable, and with
// fault.Invalid if a row can't be decoded.
func (js *Jobs) List(ctx context.Context, workspace, after string, limit int) ([]structs.Job, bool, error) {
	prefix := store.JobPrefix + workspace + "/"
	from := ""
	if after != "" {
		from = prefix + after
	}
	rows, more, err := js.store.Scan(ctx, prefix, from, limit)
	if err != nil {
		return nil, false, err
	}
	out := make([]structs.Job, 0, len(rows))
	for _, row := range rows {
		var j structs.Job
		if err := store.Decode(row, &j); err != nil {
			return nil, false, err
		}
		out = append(out, js.withEvacuatedReason(j))
	}
	return out, more, nil
}

// Cancel requests the cancellation of a job unless it has ended. It returns the
// job as it was then and the revision of its row. It is idempotent. It fails with
// the errors of Get, with fault.Uncertain, and with fault.Conflict if the job
// changed at every attempt.
func (js *Jobs) Cancel(ctx context.Context, k structs.JobKey) (structs.Job, int64, error) {
	var lastErr error
	for range maxCancelAttempts {
		j, revision, err := js.Get(ctx, k)
		if err != nil || j.State.Final() {
			return j, revision, err
		}
		requested, err := js.requestCancellation(ctx, j, revision)
		if err != nil {
			return j, revision, err
		}
		if requested {
			js.wakeOwner(j.Domain)
			return j, revision, nil
		}
		lastErr = fault.New(fault.Conflict, "job "+k.String()+" changed at every cancellation attempt")
	}
	return structs.Job{}, 0, lastErr
}

// requestCancellation writes the cancellation on condition that the job is
// unchanged since it was read. It reports whether the cancellation is stored.
func (js *Jobs) requestCancellation(ctx context.Context, j structs.Job, revision int64) (bool, error) {
	k := j.Spec.Key
	key := store.CancellationKey(j.Domain, k)
	txn := new(store.Txn).Create(key, gangs.InboxRecord{Key: k, Cancel: true})
	txn.Require(store.JobKey(k), revision)
	_, err := js.store.Commit(ctx, txn)
	if !fault.Is(err, fault.Conflict) {
		return err == nil, err
	}
	rows, err := js.store.Get(ctx, key)
	if err != nil {
		return false, err
	}
	_, stored := rows[key]
	return stored, nil
}

// Watch calls f with the job and the revision of its row, now and whenever a read
// finds a change; changes between two reads are reported once. It returns nil
// after a final state, and otherwise the error of f, of a read or of ctx. While
// the table is unavailable, reads are retried until ctx ends.
func (js *Jobs) Watch(ctx context.Context, k structs.JobKey, f func(structs.Job, int64) error) error {
	delay := minWatchInterval
	var seenRevision int64
	for {
		j, revision, err := js.Get(ctx, k)
		if err != nil && !fault.Is(err, fault.Unavailable) {
			return err
		}
		if err == nil && revision != seenRevision {
			seenRevision = revision
			delay = minWatchInterval
			if err := f(j, revision); err != nil {
				return err
			}
			if j.State.Final() {
				return nil
			}
		}
		if err := wait.For(ctx, delay); err != nil {
			return err
		}
		delay = min(2*delay, maxWatchInterval)
	}
}

// validDomain reports whether name is one of the domains or empty, which leaves
// the choice to the scheduler.
func validDomain(domains []string, name string) bool {
	return name == "" || slices.Contains(domains, name)
}

func validID(id string) bool {
	return id != "" && len(id) <= maxIDBytes && !strings.ContainsAny(id, "/ \t\r\n")
}
