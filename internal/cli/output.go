package cli

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
	"unicode/utf8"

	lentilwinchv1 "github.com/lentilwinch/lentilwinch/gen/lentilwinch/v1"
	"github.com/lentilwinch/lentilwinch/internal/fault"
)

// failureView is the JSON form of a failure.
type failureView struct {
	Code     fault.Code      `json:"code"`
	Message  string          `json:"message"`
	Problems []fault.Problem `json:"problems,omitempty"`
	// Number is the number of the ticket in force, set if the sent ticket isn't
	// the next one.
	Number   int64    `json:"number,omitempty"`
	Hint     string   `json:"hint,omitempty"`
	ExitCode ExitCode `json:"exit_code"`
}

func newFailureView(err error, exit ExitCode, hint string) failureView {
	out := failureView{Code: failureCode(err, exit), Message: err.Error(), Hint: hint, ExitCode: exit}
	var f *fault.Error
	if errors.As(err, &f) {
		out.Message = f.Message
		out.Problems = f.Problems
		out.Number = f.TicketNumber
	}
	return out
}

// failureCode returns an error's code, or fault.Invalid for an error that has none
// and exits with ExitInvalid.
func failureCode(err error, exit ExitCode) fault.Code {
	var coder fault.Coder
	if !errors.As(err, &coder) && exit == ExitInvalid {
		return fault.Invalid
	}
	return fault.CodeOf(err)
}

// jobView is the JSON form of a job.
type jobView struct {
	Workspace       string       `json:"workspace"`
	JobID           string       `json:"job_id"`
	State           string       `json:"state"`
	Reason          string       `json:"reason,omitempty"`
	Attempt         int64        `json:"attempt"`
	Domain          string       `json:"domain,omitempty"`
	Members         int32        `json:"members"`
	Accelerators    int32        `json:"accelerators_per_member"`
	Adjacency       string       `json:"adjacency"`
	Class           string       `json:"class"`
	Preemptible     bool         `json:"preemptible"`
	Places          []memberView `json:"places,omitempty"`
	SubmittedUnixMS int64        `json:"submitted_unix_ms,omitempty"`
	StartedUnixMS   int64        `json:"started_unix_ms,omitempty"`
	EndedUnixMS     int64        `json:"ended_unix_ms,omitempty"`
}

// memberView is the JSON form of the placement of one member of a gang.
type memberView struct {
	Worker  string `json:"worker"`
	Rack    string `json:"rack"`
	LeaseID string `json:"lease_id"`
}

func newJobView(j *lentilwinchv1.JobStatus) jobView {
	spec := j.GetSpec()
	out := jobView{
		Workspace:       spec.GetWorkspace(),
		JobID:           spec.GetJobId(),
		State:           j.GetState(),
		Reason:          j.GetReason(),
		Attempt:         j.GetAttempt(),
		Domain:          j.GetDomain(),
		Members:         spec.GetMembers(),
		Accelerators:    spec.GetAccelerators(),
		Adjacency:       spec.GetAdjacency(),
		Class:           spec.GetClass(),
		Preemptible:     spec.GetPreemptible(),
		SubmittedUnixMS: j.GetSubmittedUnixMs(),
		StartedUnixMS:   j.GetStartedUnixMs(),
		EndedUnixMS:     j.GetEndedUnixMs(),
	}
	for _, m := range j.GetMembers() {
		out.Places = append(out.Places, memberView{Worker: m.GetWorker(), Rack: m.GetRack(), LeaseID: m.GetLeaseId()})
	}
	return out
}

// String formats the job as one line.
func (v jobView) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s/%s %s", v.Workspace, v.JobID, v.State)
	fmt.Fprintf(&b, "  %d x %d accelerators (%s)", v.Members, v.Accelerators, v.Adjacency)
	if v.Attempt > 0 {
		fmt.Fprintf(&b, "  attempt %d", v.Attempt)
	}
	if v.Domain != "" {
		fmt.Fprintf(&b, "  in %s", v.Domain)
	}
	if len(v.Places) > 0 {
		fmt.Fprintf(&b, "  on %s", v.workers())
	}
	if v.Reason != "" {
		fmt.Fprintf(&b, "  (%s)", v.Reason)
	}
	return b.String()
}

// workers lists each worker once with the number of members on it.
func (v jobView) workers() string {
	var order []string
	count := make(map[string]int)
	for _, p := range v.Places {
		name := p.Rack + "/" + p.Worker
		if count[name] == 0 {
			order = append(order, name)
		}
		count[name]++
	}
	for i, name := range order {
		order[i] = name + " x" + strconv.Itoa(count[name])
	}
	return strings.Join(order, ", ")
}

// resultView is the JSON form of a request's outcome.
type resultView struct {
	Workspace string `json:"workspace"`
	RequestID string `json:"request_id"`
	Outcome   string `json:"outcome"`
	Reason    string `json:"reason,omitempty"`
	// Answer is set if the answer is valid UTF-8.
	Answer string `json:"answer,omitempty"`
	// AnswerBytes is the whole answer, written as base64.
	AnswerBytes []byte `json:"answer_base64,omitempty"`
	outcome     lentilwinchv1.Outcome
}

func newResultView(workspace, id string, outcome lentilwinchv1.Outcome, reason string, answer []byte) resultView {
	out := resultView{
		Workspace:   workspace,
		RequestID:   id,
		Outcome:     outcomeName(outcome),
		Reason:      reason,
		AnswerBytes: answer,
		outcome:     outcome,
	}
	if utf8.Valid(answer) {
		out.Answer = string(answer)
	}
	return out
}

func outcomeName(o lentilwinchv1.Outcome) string {
	word := strings.TrimPrefix(o.String(), "OUTCOME_")
	return strings.ToLower(word)
}

// ticketView is the JSON form of an accepted ticket.
type ticketView struct {
	Number   int64           `json:"number"`
	Document json.RawMessage `json:"document,omitempty"`
}

// statusView is the JSON form of an instance's status.
type statusView struct {
	Server         string   `json:"server"`
	Instance       string   `json:"instance,omitempty"`
	Incarnation    string   `json:"incarnation,omitempty"`
	Domain         string   `json:"failure_domain,omitempty"`
	Ready          bool     `json:"ready"`
	NotReadyReason string   `json:"not_ready_reason,omitempty"`
	ConfigNumber   int64    `json:"config_number"`
	OwnedDomains   []string `json:"owned_domains"`
	// EvacuatedDomains is nil if the instance doesn't report them.
	EvacuatedDomains []string     `json:"evacuated_domains"`
	QueuedRequests   int32        `json:"queued_requests"`
	LivePeers        int32        `json:"live_peers"`
	BackendServers   int32        `json:"backend_servers"`
	Workers          int32        `json:"workers"`
	Failure          *failureView `json:"failure,omitempty"`
}

// dumpView is the JSON form of an instance's state dump.
type dumpView struct {
	Server  string          `json:"server"`
	State   json.RawMessage `json:"state,omitempty"`
	Failure *failureView    `json:"failure,omitempty"`
}

func (a *app) printJSON(w io.Writer, v any) {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(v); err != nil {
		_, _ = fmt.Fprintf(a.stderr, "lentilwinch: write output: %s\n", err)
	}
}

// print writes a result as JSON or as a line.
func (a *app) print(v any, line string) {
	if a.common.json {
		a.printJSON(a.stdout, v)
		return
	}
	_, _ = fmt.Fprintln(a.stdout, line)
}

func (a *app) printStatuses(views []statusView) {
	w := tabwriter.NewWriter(a.stdout, 0, 2, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "SERVER\tINSTANCE\tDOMAIN\tREADY\tTICKET\tOWNS\tEVACUATED\tQUEUED\tPEERS\tBACKENDS\tWORKERS")
	for _, v := range views {
		_, _ = fmt.Fprintln(w, v.row())
	}
	_ = w.Flush()
}

func (v statusView) row() string {
	if v.Failure != nil {
		return v.Server + "\t-\t-\tno: " + v.Failure.Message + "\t\t\t\t\t\t\t"
	}
	ready := "yes"
	if !v.Ready {
		ready = "no: " + v.NotReadyReason
	}
	evacuated := "?"
	if v.EvacuatedDomains != nil {
		evacuated = cmp.Or(strings.Join(v.EvacuatedDomains, ","), "-")
	}
	return fmt.Sprintf("%s\t%s\t%s\t%s\t%d\t%s\t%s\t%d\t%d\t%d\t%d",
		v.Server, v.Instance, v.Domain, ready, v.ConfigNumber, strings.Join(v.OwnedDomains, ","), evacuated,
		v.QueuedRequests, v.LivePeers, v.BackendServers, v.Workers)
}

// startProgress prints a progress line every progressInterval until stop is
// called. It prints nothing with -quiet or -json.
func (a *app) startProgress(message string) (stop func()) {
	if a.common.quiet || a.common.json {
		return func() {}
	}
	done := make(chan struct{})
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		a.printProgress(message, done)
	}()
	return func() {
		close(done)
		<-stopped
	}
}

func (a *app) printProgress(message string, done <-chan struct{}) {
	start := time.Now()
	ticker := time.NewTicker(a.progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			waited := time.Since(start).Round(time.Second)
			_, _ = fmt.Fprintf(a.stderr, "%s (%s)\n", message, waited)
		case <-done:
			return
		}
	}
}
