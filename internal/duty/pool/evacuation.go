package pool

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/lentilwinch/lentilwinch/internal/planner"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

// lateStartTime bounds how long after its last check a start may reach its worker. It may
// wait for orderTimeout in the link to a delegate, be on its way to the delegate for 500 ms
// and take orderTimeout there.
const lateStartTime = 2*orderTimeout + 600*time.Millisecond

// Reasons of withdrawn starts.
const (
	whyEvacuated    = "evacuated"
	whyNotConfirmed = "evacuations not confirmed"
)

// failingAtLeast is how long readings must have failed before starts go on by the last known
// domains. After a suspension the first calls may fail on connections that were closed
// meanwhile. With a longer time, starts would pause at the begin of an outage in which calls
// stay without an answer.
const failingAtLeast = 400 * time.Millisecond

// knowsEvacuation reports whether this owner knows the evacuated failure domains as of a
// time after which no start that it sends now is too late. A reading that is older and
// hasn't been repeated shows that this process was suspended. While the readings fail, the
// last known domains stay in force.
func (o *Owner) knowsEvacuation(now time.Duration) bool {
	within := o.deps.EvacuateWithin
	if within <= 0 {
		return true
	}
	maxAge := max(within-lateStartTime, within/2)
	e := o.deps.Evacuation()
	failing := e.FailedAt > 0 && now-e.FailedAt <= maxAge && now-e.FailingSince >= failingAtLeast
	return failing || now-e.ReadAt <= maxAge
}

// mayStartIn reports whether a start may be sent to a worker of a failure domain. Unlike
// the planner, it sees the evacuations that the owner's loop hasn't applied yet.
func (o *Owner) mayStartIn(domain string, now time.Duration) bool {
	_, evacuated := o.deps.Evacuation().Domains[domain]
	return !evacuated && o.knowsEvacuation(now)
}

// withdrawUnsent withdraws a start whose goroutine hasn't sent it, as mayStartIn forbade it.
func (o *Owner) withdrawUnsent(now time.Duration, order *planner.Order) {
	o.cancelStart(runKey{order.Task, order.Run})
	why := whyNotConfirmed
	if _, evacuated := o.deps.Evacuation().Domains[order.Domain]; evacuated {
		why = whyEvacuated
	}
	o.planner.WithdrawStart(now, order.Worker, order.Task, order.Run, why)
}

// applyEvacuation has the planner use the evacuated failure domains, and logs what changes.
func (o *Owner) applyEvacuation(now time.Duration) {
	if knows := o.knowsEvacuation(now); knows != o.evacuationKnown {
		o.evacuationKnown = knows
		event := "starts wait, the evacuated failure domains are not confirmed"
		if knows {
			event = "evacuated failure domains confirmed again"
		}
		o.log.Warn(event, zap.Duration("read_ago", now-o.deps.Evacuation().ReadAt))
	}
	e := o.deps.Evacuation()
	if maps.Equal(e.Domains, o.evacuated) {
		return
	}
	old := o.evacuated
	o.evacuated = e.Domains
	o.planner.SetEvacuated(slices.Collect(maps.Keys(e.Domains)))
	readAgo := zap.Duration("read_ago", now-e.ReadAt)
	for _, domain := range slices.Sorted(maps.Keys(old)) {
		if _, still := e.Domains[domain]; !still {
			o.log.Info("failure domain restored", zap.String("domain", domain), zap.Int64("version", e.Version), readAgo)
		}
	}
	known := o.knownDomains()
	for _, domain := range slices.Sorted(maps.Keys(e.Domains)) {
		if _, before := old[domain]; before {
			continue
		}
		o.log.Info("failure domain evacuated", zap.String("domain", domain), zap.Int64("version", e.Domains[domain]), readAgo)
		if !slices.Contains(known, domain) {
			o.log.Warn("evacuated failure domain has no worker and no instance", zap.String("domain", domain), zap.Strings("known", known))
		}
	}
	o.logUnmetGuarantees()
}

// knownDomains returns the failure domains of the workers and the instances, sorted.
func (o *Owner) knownDomains() []string {
	known := o.planner.Domains()
	for _, in := range o.deps.Replica.Instances("") {
		known = append(known, in.Domain)
	}
	slices.Sort(known)
	return slices.Compact(known)
}

// logUnmetGuarantees logs that the capacity outside of the evacuated failure domains
// doesn't suffice for the guarantees.
func (o *Owner) logUnmetGuarantees() {
	if o.config == nil || len(o.evacuated) == 0 {
		return
	}
	guaranteed, usable := int64(0), o.planner.UsableAccelerators()
	for i := range o.config.Workspaces {
		guaranteed += o.config.Workspaces[i].GuaranteedAccelerators
	}
	if guaranteed > usable {
		o.log.Warn("guarantees exceed what is not evacuated", zap.Int64("guaranteed", guaranteed), zap.Int64("usable", usable))
	}
}

// withdrawEvacuated withdraws the held starts on workers of evacuated failure domains, and
// with them those of the other members of their gangs. Members whose starts were sent are
// stopped with their attempt.
func (o *Owner) withdrawEvacuated(now time.Duration) {
	o.applyEvacuation(now)
	withdrawn := false
	withdrawIf := func(why string, condition func(worker string, task work.TaskID, run int64) bool) {
		o.held = slices.DeleteFunc(o.held, func(h heldStart) bool {
			order := &h.order
			if !condition(order.Worker, order.Task, order.Run) {
				return false
			}
			o.planner.WithdrawStart(now, order.Worker, order.Task, order.Run, why)
			withdrawn = true
			return true
		})
	}
	withdrawIf(whyEvacuated, func(worker string, _ work.TaskID, _ int64) bool { return o.planner.IsEvacuated(worker) })
	if withdrawn {
		withdrawIf("member of a gang in part "+whyEvacuated, o.planner.AttemptEnded)
	}
}
