package store

import (
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

const oldToken = "north-1-A7#1"

var oldJob = structs.Job{
	Spec: structs.JobSpec{
		Key:          structs.JobKey{Workspace: "willow", ID: "train-7"},
		Members:      2,
		Accelerators: 8,
		Adjacency:    structs.AdjacencyRack,
		Class:        structs.ClassUrgent,
		Preemptible:  true,
		DeclaredRun:  90 * time.Second,
		Payload:      []byte("payload"),
		Domain:       "north",
		Service:      "train",
	},
	State:             structs.JobStopping,
	Domain:            "south",
	InfeasibleDomains: []string{"east", "west"},
	Attempt:           3,
	Members: []structs.Member{
		{Worker: "w1", Rack: "r1", Lease: "willow/train-7/3/0"},
		{Worker: "w2", Rack: "r2", Lease: "willow/train-7/3/1"},
	},
	Borrowed:   true,
	NextState:  structs.JobQueued,
	Reason:     "reclaimed",
	Checkpoint: "checkpoint/willow/train-7/2",
	Failures:   1,
	Submitted:  time.Date(2026, 3, 9, 6, 16, 10, 11, time.UTC),
	Started:    time.Date(2026, 3, 9, 6, 17, 10, 12, time.UTC),
	Ended:      time.Date(2026, 3, 9, 6, 18, 10, 13, time.UTC),
}

// Job rows are encoded with Go field names. A field renamed without a tag would
// decode as zero from every job that an earlier build stored.
func TestDecodesDataOfEarlierBuilds(t *testing.T) {
	raw, err := os.ReadFile("testdata/job.cbor")
	must.NoError(t, err)
	row := port.Row{Key: "job/willow/train-7", Value: raw}
	var got structs.Job
	must.NoError(t, Decode(row, &got))
	must.Eq(t, oldJob, got)
	must.EqOp(t, oldToken, tokenOf(row))
	encoded, err := encode(oldToken, oldJob)
	must.NoError(t, err)
	must.Eq(t, raw, encoded)
}

// A change in the format of a row key would make the rows that earlier builds
// stored unreachable.
func TestKeysOfEarlierBuilds(t *testing.T) {
	k := oldJob.Spec.Key
	must.Eq(t, []string{
		"session/n-1", "owner/north", "ticket/000000000012", "config/version", "config/workspace/willow",
		"config/service/willow/scan", "job/willow/train-7", "queue/north/willow/train-7",
		"inbox/north/submit/willow/train-7", "inbox/north/cancel/willow/train-7", "claim/willow/req-1", "willow/train-7/3/1",
	}, []string{
		SessionKey("n-1"), OwnerKey("north"), TicketKey(12), ConfigVersionKey, WorkspaceKey("willow"),
		ServiceKey(structs.ServiceKey{Workspace: "willow", Name: "scan"}), JobKey(k), QueueKey("north", k),
		SubmissionKey("north", k), CancellationKey("north", k), ClaimKey(structs.RequestKey{Workspace: "willow", ID: "req-1"}),
		string(structs.MemberLeaseID(k, 3, 1)),
	})
}

// Stored rows contain the values of these constants. A changed value would not
// be recognized in the rows of earlier builds.
func TestStoredConstantsOfEarlierBuilds(t *testing.T) {
	must.Eq(t, []structs.JobState{
		"queued", "reserving", "running", "stopping", "succeeded", "failed", "cancelled", "unplaceable",
	}, []structs.JobState{
		structs.JobQueued, structs.JobReserving, structs.JobRunning, structs.JobStopping,
		structs.JobSucceeded, structs.JobFailed, structs.JobCancelled, structs.JobUnplaceable,
	})
	must.Eq(t, []structs.Class{"urgent", "normal", "batch"},
		[]structs.Class{structs.ClassUrgent, structs.ClassNormal, structs.ClassBatch})
	must.Eq(t, []structs.Adjacency{"worker", "rack", "domain"},
		[]structs.Adjacency{structs.AdjacencyWorker, structs.AdjacencyRack, structs.AdjacencyDomain})
}
