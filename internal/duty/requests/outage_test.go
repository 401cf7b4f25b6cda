package requests_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/fake"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

const outageDuration = time.Minute

// sendLoad sends requests to each of the two services at a rate per second for
// the duration of an outage, and counts the responses by service and outcome.
func sendLoad(cl *cluster, n *instance, rate int) map[string]int {
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	for i := range rate * int(outageDuration/time.Second) {
		<-ticker.C
		for _, s := range []string{onceService, repeatableService} {
			n.send(request(s, fmt.Sprint(s, i), 100*time.Millisecond))
		}
	}
	time.Sleep(2 * serviceDeadline)
	count := make(map[string]int)
	for _, resp := range cl.responses() {
		count[resp.service+" "+resp.res.Outcome.String()]++
	}
	return count
}

// TestTableOutageLeavesSlotsForRepeatableRequests guards against claims that
// occupy a slot until they fail: then only 540 of 2400 repeatable requests
// completed with the table down, and 563 with it hanging.
func TestTableOutageLeavesSlotsForRepeatableRequests(t *testing.T) {
	for name, f := range map[string]fake.TableFaults{"down": {Down: true}, "hang": {Hang: true}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const rate = 40
				cl := newCluster(4, 8)
				defer cl.close()
				n := cl.startInstance()
				synctest.Wait()
				cl.table.SetFaults(f)
				total := rate * int(outageDuration/time.Second)
				must.Eq(t, map[string]int{repeatableService + " done": total, onceService + " unknown": total}, sendLoad(cl, n, rate))
				cl.table.SetFaults(fake.TableFaults{})
				time.Sleep(outageDuration)
				must.Zero(t, n.claims.Unresolved())
				for i := range total {
					res, err := n.lookup(fmt.Sprint(onceService, i))
					must.NoError(t, err)
					must.Eq(t, structs.OutcomeNotRun, res.Outcome)
				}
				must.SliceEmpty(t, cl.checkResponses())
			})
		})
	}
}
