package intake

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"github.com/lentilwinch/lentilwinch/internal/duty/relay"
	"github.com/lentilwinch/lentilwinch/internal/duty/replica"
	"github.com/lentilwinch/lentilwinch/internal/fake"
	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/keylease"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

// newStrictEnv returns an environment in which withdrawn keys must be refused
// within five seconds. The configuration was read a second ago.
func newStrictEnv(t *testing.T) *testEnv {
	env := newTestEnv(t)
	env.policy = keylease.Policy{RevokeWithin: 5 * time.Second}
	return env
}

// mustBeRefused checks that err says that nothing was done and when to retry.
func mustBeRefused(t *testing.T, err error) {
	t.Helper()
	must.True(t, fault.Is(err, fault.Unavailable), must.Sprint(err))
	var retry *fault.RetryError
	must.True(t, errors.As(err, &retry))
	must.EqOp(t, time.Second, retry.RetryAfter)
}

// storedJobs returns the records of all jobs in the store.
func (env *testEnv) storedJobs(t *testing.T) []work.Record {
	t.Helper()
	var out []work.Record
	partitions, err := env.rows.Partitions(t.Context(), replica.Table)
	must.NoError(t, err)
	for _, partition := range partitions {
		rows, _, err := env.rows.Scan(t.Context(), replica.Table, partition, "", "")
		must.NoError(t, err)
		for _, row := range rows {
			var record work.Record
			must.NoError(t, work.Decode(row.Value, &record))
			out = append(out, record)
		}
	}
	return out
}

func TestKeysAreRefusedUntilConfigurationIsReadAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newStrictEnv(t)
		time.Sleep(3 * time.Second)
		_, err := env.intake.Authorize(env.queue, "key")
		must.NoError(t, err)
		time.Sleep(time.Second)
		_, err = env.intake.Authorize(env.queue, "key")
		mustBeRefused(t, err)
		_, err = env.intake.Authorize(env.queue, "a key of a newer configuration")
		mustBeRefused(t, err)
		_, err = env.intake.Authorize(env.queue, "")
		must.True(t, fault.Is(err, fault.Unauthenticated))
		must.False(t, env.intake.KeysAccepted())
		anonymous, err := env.intake.Authorize(&work.Queue{AllowAnonymous: true}, "key")
		must.NoError(t, err)
		must.EqOp(t, "", anonymous.Workspace)
		env.intake.ApplyReading(port.ConfigReading{}, env.now())
		_, err = env.intake.Authorize(env.queue, "key")
		must.NoError(t, err)
		must.True(t, env.intake.KeysAccepted())
	})
}

// A reading confirms the configuration only as of the time it was sent.
func TestReadingWithLateAnswerDoesNotConfirmKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newStrictEnv(t)
		sentAt := env.now()
		time.Sleep(5 * time.Second)
		env.intake.ApplyReading(port.ConfigReading{}, sentAt)
		_, err := env.intake.Authorize(env.queue, "key")
		mustBeRefused(t, err)
	})
}

func TestWithoutLimitKeysAreAcceptedAtAnyAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t)
		time.Sleep(time.Hour)
		must.NoError(t, env.submit("a"))
	})
}

// An instance that was suspended with a call in hand changes and tells nothing
// afterwards.
func TestSuspendedCallIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newStrictEnv(t)
		must.NoError(t, env.submit("known"))
		time.Sleep(300 * time.Millisecond)
		caller, err := env.intake.Authorize(env.queue, "key")
		must.NoError(t, err)
		time.Sleep(6 * time.Second)
		mustBeRefused(t, env.intake.Submit(t.Context(), caller, "a", work.Submission{Steps: oneTask}))
		_, err = env.intake.State(t.Context(), caller, "known")
		mustBeRefused(t, err)
		mustBeRefused(t, env.intake.Cancel(t.Context(), caller, "known"))
		jobs := env.storedJobs(t)
		must.Len(t, 1, jobs)
		must.EqOp(t, "known", jobs[0].Job.ID)
	})
}

// The job is stored, so that neither "not run" nor success may be said.
func TestWriteAnsweredAfterLeaseIsUncertain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newStrictEnv(t)
		time.Sleep(3500 * time.Millisecond)
		env.store.delay = 500 * time.Millisecond
		must.True(t, fault.Is(env.submit("a"), fault.Uncertain))
		must.Len(t, 1, env.storedJobs(t))
		env.intake.ApplyReading(port.ConfigReading{}, env.now())
		must.NoError(t, env.submit("a"))
	})
}

// The first write was carried out and its answer lost; the lease ends before the
// next one.
func TestLeaseEndingBetweenWritesIsUncertain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newStrictEnv(t)
		time.Sleep(3640 * time.Millisecond)
		env.rows.SetFaults(fake.Faults{LoseReplies: true})
		must.True(t, fault.Is(env.submit("a"), fault.Uncertain))
		must.Len(t, 1, env.storedJobs(t))
	})
}

func TestOlderConfigurationReadLateChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newStrictEnv(t)
		env.read(env.intake, testConfig(3, "ws"))
		time.Sleep(4 * time.Second)
		must.False(t, env.intake.ApplyReading(port.ConfigReading{Config: testConfig(1, "ws", "key")}, env.now()))
		_, err := env.intake.Authorize(env.queue, "key")
		must.True(t, fault.Is(err, fault.Unauthenticated))
		must.EqOp(t, 4*time.Second, env.intake.ConfigReadAge())
	})
}

func TestKeyGivenToAnotherWorkspaceStoresNothingForTheFormer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newStrictEnv(t)
		caller, err := env.intake.Authorize(env.queue, "key")
		must.NoError(t, err)
		env.read(env.intake, testConfig(2, "other", "key"))
		mustBeRefused(t, env.intake.Submit(t.Context(), caller, "a", work.Submission{Steps: oneTask}))
		must.Len(t, 0, env.storedJobs(t))
		caller, err = env.intake.Authorize(env.queue, "key")
		must.NoError(t, err)
		must.NoError(t, env.intake.Submit(t.Context(), caller, "a", work.Submission{Steps: oneTask}))
		must.EqOp(t, "other", env.storedJobs(t)[0].Job.Workspace)
	})
}

// A configuration that can't be decoded may have withdrawn any key.
func TestUnusableConfigurationEndsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newStrictEnv(t)
		for range 5 {
			env.intake.ApplyReading(port.ConfigReading{Unusable: env.now() < 2*time.Second}, env.now())
			time.Sleep(time.Second)
		}
		_, err := env.intake.Authorize(env.queue, "key")
		mustBeRefused(t, err)
		env.read(env.intake, testConfig(2, "ws", "key"))
		_, err = env.intake.Authorize(env.queue, "key")
		must.NoError(t, err)
	})
}

func TestUnusableFirstConfigurationIsNotInForce(t *testing.T) {
	in := New(Deps{Log: zap.NewNop(), Now: func() time.Duration { return 0 }, KeyPolicy: func() keylease.Policy { return keylease.Policy{} }})
	must.False(t, in.ApplyReading(port.ConfigReading{Unusable: true}, 0))
	must.Nil(t, in.Config())
	must.False(t, in.KeysAccepted())
}

// randomClockStore is a store whose commits take a random time on the clock of the
// test, and are carried out at a random moment of it or not at all.
type randomClockStore struct {
	port.RowStore
	t       *rapid.T
	advance func(limit time.Duration)
}

func (s *randomClockStore) Commit(ctx context.Context, txn port.RowTxn) (int64, error) {
	s.advance(4 * time.Second)
	switch rapid.SampledFrom([]string{"done", "lost", "away"}).Draw(s.t, "commit") {
	case "away":
		return 0, fault.New(fault.Unavailable, "store is away")
	case "lost":
		_, _ = s.RowStore.Commit(ctx, txn) // its outcome is lost
		s.advance(4 * time.Second)
		return 0, fault.New(fault.Uncertain, "answer was lost")
	}
	version, err := s.RowStore.Commit(ctx, txn)
	s.advance(4 * time.Second)
	return version, err
}

// keyModel is the operator's history of versions: the workspace that had the key in
// each, "" for none, and when it was accepted.
type keyModel struct {
	at         []time.Duration
	workspaces []string
}

// heldWithin reports whether the workspace had the key at some moment of the span
// before now.
func (m *keyModel) heldWithin(now, span time.Duration, workspace string) bool {
	for i := range m.at {
		until := now
		if i+1 < len(m.at) {
			until = m.at[i+1]
		}
		if m.workspaces[i] == workspace && until >= now-span {
			return true
		}
	}
	return false
}

// Whatever the order of readings, suspensions, withdrawals and lost answers, a call
// succeeds only for a workspace that had the key within the bound, and a call that
// is refused as not done has stored nothing.
func TestNoCallSucceedsByKeyWithdrawnBeforeTheBound(t *testing.T) {
	const within = 5 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		now := time.Duration(0)
		model := keyModel{at: []time.Duration{0}, workspaces: []string{"ws"}}
		// pending are readings whose answers are on their way.
		type pending struct {
			sentAt  time.Duration
			reading port.ConfigReading
		}
		var readings []pending
		withdraw := func() {
			model.at = append(model.at, now)
			model.workspaces = append(model.workspaces, rapid.SampledFrom([]string{"", "ws", "other"}).Draw(t, "holder"))
		}
		advance := func(limit time.Duration) {
			now += time.Duration(rapid.Int64Range(0, int64(limit)).Draw(t, "pause"))
			if rapid.Bool().Draw(t, "changes") {
				withdraw()
				now += time.Duration(rapid.Int64Range(0, int64(limit)).Draw(t, "pause after change"))
			}
		}
		configAt := func(i int) *work.Config {
			keys := []string{}
			if model.workspaces[i] != "" {
				keys = append(keys, "key")
			}
			return testConfig(int64(i+1), model.workspaces[i], keys...)
		}
		rows := fake.NewRows()
		health := relay.New(rows, func() []port.RowStore { return nil }, func() time.Duration { return now }, zap.NewNop())
		in := New(Deps{
			Store: &randomClockStore{rows, t, advance}, Health: health, Log: zap.NewNop(), Now: func() time.Duration { return now },
			Replica:   replica.New(rows, zap.NewNop(), func() time.Duration { return now }),
			KeyPolicy: func() keylease.Policy { return keylease.Policy{RevokeWithin: within} },
		})
		in.ApplyReading(port.ConfigReading{Config: configAt(0)}, 0)
		jobs := 0
		t.Repeat(map[string]func(*rapid.T){
			"time passes": func(*rapid.T) { advance(6 * time.Second) },
			"reading is sent and carried out": func(*rapid.T) {
				sentAt := now
				advance(time.Second)
				readings = append(readings, pending{sentAt, port.ConfigReading{Config: configAt(len(model.at) - 1)}})
			},
			"reading is answered": func(t *rapid.T) {
				if len(readings) == 0 {
					t.Skip("none on its way")
				}
				i := rapid.IntRange(0, len(readings)-1).Draw(t, "which")
				in.ApplyReading(readings[i].reading, readings[i].sentAt)
				readings = append(readings[:i], readings[i+1:]...)
			},
			"call": func(t *rapid.T) {
				q, _, err := in.Route("h", "/a/x")
				must.NoError(t, err)
				caller, err := in.Authorize(q, "key")
				if err != nil {
					return
				}
				advance(3 * time.Second)
				jobs++
				id := string(rune('a' + jobs%26))
				before := countRows(t, rows)
				ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
				defer cancel()
				err = in.Submit(ctx, caller, id, work.Submission{Steps: oneTask})
				if err == nil {
					must.True(t, model.heldWithin(now, within, caller.Workspace), must.Sprintf("%s at %s: %+v", caller.Workspace, now, model))
				}
				if fault.Is(err, fault.Unavailable) || fault.Is(err, fault.Unauthenticated) {
					must.EqOp(t, before, countRows(t, rows))
				}
				_, err = in.State(ctx, caller, id)
				if err == nil {
					must.True(t, model.heldWithin(now, within, caller.Workspace))
				}
			},
		})
	})
}

func countRows(t *rapid.T, rows *fake.Rows) int {
	partitions, err := rows.Partitions(context.Background(), replica.Table)
	must.NoError(t, err)
	n := 0
	for _, partition := range partitions {
		list, _, err := rows.Scan(context.Background(), replica.Table, partition, "", "")
		must.NoError(t, err)
		n += len(list)
	}
	return n
}
