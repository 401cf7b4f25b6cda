package delegation

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// instances returns large and small instances in each of several domains.
func instances(domains, large, small int) []Instance {
	var out []Instance
	for d := range domains {
		for k := range large + small {
			cores := 0.8
			if k >= large {
				cores = 0.2
			}
			out = append(out, Instance{Name: fmt.Sprintf("d%d-%d", d, k), Domain: fmt.Sprintf("d%d", d), Cores: cores})
		}
	}
	return out
}

func TestSmallPoolsAreServedByTheirOwner(t *testing.T) {
	must.False(t, Needed(48, 0.4))
	must.False(t, Needed(200, 0.8))
	must.True(t, Needed(350, 0.8))
	must.True(t, Needed(1100, 0.8))
}

func TestLargestInstancesOfEachDomainAreChosen(t *testing.T) {
	chosen := Choose(instances(6, 3, 20), 1100)
	must.Len(t, 18, chosen)
	for _, in := range chosen {
		must.EqOp(t, 0.8, in.Cores)
	}
}

func TestSmallInstancesHelpWhereLargeOnesAreMissing(t *testing.T) {
	list := instances(6, 0, 20)
	perDomain := map[string]float64{}
	for _, in := range Choose(list, 1100) {
		perDomain[in.Domain] += in.Cores
	}
	must.MapLen(t, 6, perDomain)
	for _, cores := range perDomain {
		must.GreaterEq(t, 1100.0/6/delegateWorkersPerCore, cores)
	}
}

func TestWorkersAreSpreadOverTheirOwnDomain(t *testing.T) {
	chosen := Choose(instances(6, 3, 0), 1100)
	load := map[string]int{}
	for w := range 1100 {
		domain := fmt.Sprintf("d%d", w%6)
		in := chosen[Route(fmt.Sprintf("w%d", w), domain, chosen)]
		must.EqOp(t, domain, in.Domain)
		load[in.Name]++
	}
	for name, n := range load {
		must.Between(t, 35, n, 90, must.Sprint(name))
	}
}

func TestRouteWithoutInstances(t *testing.T) { must.EqOp(t, -1, Route("w", "d", nil)) }

// A delegate that is lost moves no worker of another one.
func TestLossOfADelegateMovesOnlyItsWorkers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := instances(rapid.IntRange(1, 4).Draw(t, "domains"), rapid.IntRange(2, 4).Draw(t, "large"), 1)
		lost := rapid.IntRange(0, len(list)-1).Draw(t, "lost")
		rest := append(append([]Instance{}, list[:lost]...), list[lost+1:]...)
		for w := range 50 {
			worker, domain := fmt.Sprintf("w%d", w), fmt.Sprintf("d%d", w%4)
			before := list[Route(worker, domain, list)].Name
			if before != list[lost].Name {
				must.EqOp(t, before, rest[Route(worker, domain, rest)].Name)
			}
		}
	})
}
