package cli

import (
	"encoding/json"
	"testing"

	"github.com/shoenig/test/must"

	lentilwinchv1 "github.com/lentilwinch/lentilwinch/gen/lentilwinch/v1"
	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/structs"
	"github.com/lentilwinch/lentilwinch/internal/ticket"
)

// Guards against a ticket that the daemon would refuse, against a number other than
// the next, and against restore and evacuate sending the same state.
func TestEvacuateAndRestoreSendNextTicket(t *testing.T) {
	for command, evacuated := range map[string]bool{"evacuate": true, "restore": false} {
		for _, inForce := range []int64{0, 7} {
			var sent structs.Ticket
			server := &fakeServer{ticket: inForce, apply: func(doc []byte) (int64, error) {
				parsed, err := ticket.Parse(doc)
				sent = parsed
				return parsed.Number, err
			}}
			got := run(background, command, "-server", server.start(t), "-author", "ana", "-comment", "roof works", "north")
			must.Eq(t, ExitOK, got.exit, must.Sprint(got))
			must.StrContains(t, got.stdout, "accepted")
			must.Eq(t, structs.Ticket{
				Number: inForce + 1, Author: "ana", Comment: "roof works",
				Domains: []structs.Domain{{Name: "north", Evacuated: evacuated}},
			}, sent)
		}
	}
}

// Guards against exit codes, problems or hints that differ from those of apply.
func TestEvacuateFailsLikeApply(t *testing.T) {
	for code, exit := range map[fault.Code]ExitCode{
		fault.Invalid: ExitInvalid, fault.Conflict: ExitConflict, fault.Unavailable: ExitUnavailable, fault.Uncertain: ExitUnknown,
	} {
		server := &fakeServer{ticket: 7, apply: func([]byte) (int64, error) {
			return 0, serverError(code, &lentilwinchv1.Problem{Path: "domains[0].name", Value: `"nroth"`, Allowed: "one of north, south"})
		}}
		got := run(background, "evacuate", "-json", "-author", "ana", "-server", server.start(t), "nroth")
		must.Eq(t, exit, got.exit)
		var view failureView
		must.NoError(t, json.Unmarshal([]byte(got.stderr), &view))
		must.Eq(t, code, view.Code)
		must.Eq(t, 7, view.Number)
		must.Eq(t, []fault.Problem{{Path: "domains[0].name", Value: `"nroth"`, Allowed: "one of north, south"}}, view.Problems)
		must.Eq(t, code == fault.Uncertain, view.Hint != "")
	}
	// Nothing is sent without the number in force.
	got := run(background, "evacuate", "-author", "ana", "-server", closedAddress(t), "north")
	must.Eq(t, ExitUnavailable, got.exit)
	must.StrNotContains(t, got.stderr, "may have been accepted")
}

// Guards against a status that hides an evacuation, and against one that shows no
// evacuation where an older instance doesn't report any.
func TestStatusShowsEvacuatedDomains(t *testing.T) {
	for dump, want := range map[string][]string{
		`{"config": {"evacuated_domains": ["east-kiln", "saw-hall"]}}`: {"east-kiln", "saw-hall"},
		`{"config": {"evacuated_domains": []}}`:                        {},
		`{"config": {}}`:                                               nil,
	} {
		server := &fakeServer{dump: dump, status: func() (*lentilwinchv1.StatusResponse, error) {
			return &lentilwinchv1.StatusResponse{Instance: "north-1", Ready: true}, nil
		}}
		got := run(background, "status", "-json", "-server", server.start(t))
		must.Eq(t, ExitOK, got.exit)
		var views []statusView
		must.NoError(t, json.Unmarshal([]byte(got.stdout), &views))
		must.Eq(t, want, views[0].EvacuatedDomains)
		must.StrContains(t, run(background, "status", "-server", server.start(t)).stdout, "EVACUATED")
	}
	must.StrContains(t, statusView{EvacuatedDomains: []string{"east-kiln"}}.row(), "\teast-kiln\t")
	must.StrContains(t, statusView{EvacuatedDomains: []string{}}.row(), "\t-\t")
	must.StrContains(t, statusView{}.row(), "\t?\t")
}
