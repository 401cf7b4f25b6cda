package cli

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"strconv"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/settings"
	"github.com/lentilwinch/lentilwinch/internal/structs"
	"github.com/lentilwinch/lentilwinch/internal/ticket"
)

// checkView is the JSON result of checking one file.
type checkView struct {
	File    string       `json:"file"`
	OK      bool         `json:"ok"`
	Number  int64        `json:"number,omitempty"`
	Digest  string       `json:"digest,omitempty"`
	Failure *failureView `json:"failure,omitempty"`
}

func (a *app) checkCommand() *ffcli.Command {
	fs := flag.NewFlagSet("check", flag.ContinueOnError)
	a.common.registerOutput(fs)
	return newCommand(&a.help, commandSpec{
		name:  "check",
		usage: "check [flags] settings|tickets <file>...",
		short: "Check settings or tickets without a server.",
		long: `Reports every problem of every file with its path, the value found and what is
allowed. Tickets are applied in the order given. If the first is ticket 1,
references between them are checked too. Whether the guaranteed shapes fit on
the workers is checked by apply only.`,
		examples: []string{
			"lentilwinch check settings examples/willow/north-yard-1.json",
			"lentilwinch check tickets examples/willow/1.json examples/willow/2.json",
		},
		minArgs: 2, maxArgs: 1000,
		flags: fs,
		run: func(_ context.Context, args []string) error {
			return a.check(args[0], args[1:])
		},
	})
}

func (a *app) check(kind string, files []string) error {
	var checked []checkView
	switch kind {
	case "settings":
		checked = a.checkSettings(files)
	case "tickets":
		checked = a.checkTickets(files)
	default:
		return fault.New(fault.Invalid, strconv.Quote(kind)+" is neither settings nor tickets")
	}
	a.printChecks(checked)
	for _, v := range checked {
		if !v.OK {
			return &reportedError{exit: ExitInvalid, code: fault.Invalid}
		}
	}
	return nil
}

func (a *app) checkSettings(files []string) []checkView {
	var out []checkView
	for _, file := range files {
		out = append(out, newCheckView(file, a.checkSettingsFile(file)))
	}
	return out
}

func (a *app) checkSettingsFile(file string) error {
	raw, err := readInput(a.stdin, file)
	if err != nil {
		return err
	}
	_, err = settings.Load(bytes.NewReader(raw))
	return err
}

func newCheckView(file string, err error) checkView {
	if err == nil {
		return checkView{File: file, OK: true}
	}
	failure := newFailureView(err, ExitInvalid, "")
	return checkView{File: file, Failure: &failure}
}

// checkTickets checks the tickets. If the first is ticket 1, it also applies
// them in order to an empty configuration, which checks their references.
func (a *app) checkTickets(files []string) []checkView {
	var out []checkView
	cfg := ticket.EmptyConfig()
	startsAtTicket1 := true
	for i, file := range files {
		t, err := a.parseTicketFile(file)
		if i == 0 && t.Number != 1 {
			startsAtTicket1 = false
		}
		if err == nil && startsAtTicket1 {
			err = ticket.Check(cfg, t, ticket.Fleet{})
		}
		view := newCheckView(file, err)
		if err == nil {
			view.Number = t.Number
			view.Digest = ticket.Digest(t)
			cfg = ticket.Apply(cfg, t)
		}
		out = append(out, view)
	}
	return out
}

func (a *app) parseTicketFile(file string) (structs.Ticket, error) {
	raw, err := readInput(a.stdin, file)
	if err != nil {
		return structs.Ticket{}, err
	}
	return ticket.Parse(raw)
}

func (a *app) printChecks(checked []checkView) {
	if a.common.json {
		a.printJSON(a.stdout, checked)
		return
	}
	for _, v := range checked {
		if v.OK {
			_, _ = fmt.Fprintf(a.stdout, "%s: ok\n", v.File)
			continue
		}
		_, _ = fmt.Fprintf(a.stderr, "%s: %s\n", v.File, v.Failure.Message)
		a.printProblems(v.Failure.Problems)
	}
}
