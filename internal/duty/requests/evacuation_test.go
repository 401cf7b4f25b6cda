package requests_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// runsAt counts the runs on a server.
func (cl *cluster) runsAt(server int) int {
	list, _ := cl.servers[server].Runs()
	return len(list)
}

// Guards against dispatching to the servers of an evacuated failure domain, also
// before the loop was told of the new configuration, and against aborting requests
// in flight there.
func TestEvacuatedDomainGetsNoRequests(t *testing.T) {
	runScenario(t, 1, 64, func(t *testing.T, cl *cluster) {
		in := cl.instances[0]
		var inFlight []<-chan response
		for i := range 40 {
			inFlight = append(inFlight, in.send(request(repeatableService, fmt.Sprint("before-", i), 2*time.Second)))
		}
		time.Sleep(time.Second)
		before := cl.runsAt(0)
		must.Positive(t, before)
		must.Positive(t, cl.runsAt(1))

		cl.setEvacuated("d0")
		for i := range 10 {
			got := <-in.send(request(repeatableService, fmt.Sprint("during-", i), 10*time.Millisecond))
			must.Eq(t, structs.OutcomeDone, got.res.Outcome)
		}
		must.Eq(t, before, cl.runsAt(0))
		for _, c := range inFlight {
			must.Eq(t, structs.OutcomeDone, (<-c).res.Outcome)
		}

		cl.setEvacuated()
		for i := range 40 {
			got := <-in.send(request(repeatableService, fmt.Sprint("after-", i), 10*time.Millisecond))
			must.Eq(t, structs.OutcomeDone, got.res.Outcome)
		}
		must.Greater(t, before, cl.runsAt(0))
	})
}

// Guards against sending a request whose server was evacuated while the claim was
// being written. It must run elsewhere, once, or not at all if there is no server.
func TestEvacuationDuringClaim(t *testing.T) {
	for name, evacuated := range map[string][]string{"one domain": {"d0"}, "all": {"d0", "d1"}} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, 1, 64, func(t *testing.T, cl *cluster) {
				in := cl.instances[0]
				// Step 1 of the process is the commit of the claims.
				in.process.triggerStep, in.process.trigger = 1, func() { cl.setEvacuated(evacuated...) }
				var sent []<-chan response
				for i := range 16 {
					sent = append(sent, in.send(request(onceService, fmt.Sprint("r", i), 10*time.Millisecond)))
				}
				for i, c := range sent {
					got := <-c
					must.NoError(t, got.err)
					if len(evacuated) == 2 {
						must.Eq(t, structs.OutcomeNotRun, got.res.Outcome)
						continue
					}
					must.Eq(t, structs.OutcomeDone, got.res.Outcome)
					must.Eq(t, 1, cl.runs(fmt.Sprint("r", i)))
				}
				synctest.Wait()
				must.Zero(t, cl.runsAt(0))
				must.SliceEmpty(t, cl.checkResponses())
			})
		})
	}
}
