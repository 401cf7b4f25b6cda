package jobs

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

const (
	maxIDBytes      = 128
	maxMembers      = 256
	maxAccelerators = 64
	maxPayloadBytes = 256 << 10
)

// validate rejects an invalid specification and reports all problems at once. It
// fails with fault.Invalid, or with fault.NotFound for an unknown workspace.
func (js *Jobs) validate(spec structs.JobSpec) error {
	return js.check(spec, int64(len(spec.Payload)))
}

// check validates a specification with a payload of a size.
func (js *Jobs) check(spec structs.JobSpec, payloadBytes int64) error {
	var p problems
	p.require(validID(spec.Key.ID), "job_id", spec.Key.ID, fmt.Sprintf("1 to %d bytes without slash or white space", maxIDBytes))
	p.require(inRange(spec.Members, 1, maxMembers), "members", strconv.Itoa(spec.Members), fmt.Sprintf("1 to %d", maxMembers))
	p.require(inRange(spec.Accelerators, 1, maxAccelerators), "accelerators", strconv.Itoa(spec.Accelerators), fmt.Sprintf("1 to %d", maxAccelerators))
	p.require(validAdjacency(spec.Adjacency), "adjacency", string(spec.Adjacency), "worker, rack or domain")
	p.require(validClass(spec.Class), "class", string(spec.Class), "urgent, normal or batch")
	p.require(spec.DeclaredRun >= 0, "declared_run_ms", spec.DeclaredRun.String(), "0 or more")
	p.require(payloadBytes <= maxPayloadBytes, "payload", fmt.Sprintf("%d bytes", payloadBytes), fmt.Sprintf("at most %d bytes", maxPayloadBytes))
	p.require(validDomain(js.domains, spec.Domain), "domain", spec.Domain, strings.Join(js.domains, ", "))
	if len(p) > 0 {
		return fault.InvalidDocument("job specification is invalid", p)
	}
	if _, ok := js.config().Workspaces[spec.Key.Workspace]; !ok {
		return fault.New(fault.NotFound, "workspace "+strconv.Quote(spec.Key.Workspace)+" doesn't exist")
	}
	return nil
}

type problems []fault.Problem

func (p *problems) require(ok bool, path, value, allowed string) {
	if !ok {
		*p = append(*p, fault.Problem{Path: path, Value: value, Allowed: allowed})
	}
}

func inRange(n, low, high int) bool {
	return n >= low && n <= high
}

func validAdjacency(a structs.Adjacency) bool {
	switch a {
	case structs.AdjacencyWorker, structs.AdjacencyRack, structs.AdjacencyDomain:
		return true
	default:
		return false
	}
}

func validClass(c structs.Class) bool {
	switch c {
	case structs.ClassUrgent, structs.ClassNormal, structs.ClassBatch:
		return true
	default:
		return false
	}
}
