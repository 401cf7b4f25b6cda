package cli

import (
	"context"
	"encoding/json"
	"flag"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	lentilwinchv1 "github.com/lentilwinch/lentilwinch/gen/lentilwinch/v1"
	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

const evacuationHint = "The ticket may have been accepted. Send the same command again, or check with: lentilwinch ticket"

func (a *app) evacuateCommand() *ffcli.Command {
	return a.domainCommand(true, commandSpec{
		name:  "evacuate",
		short: "Keep new work off a failure domain.",
		long: `Sends a ticket that evacuates the failure domain: no gang starts on its workers
and no request is sent to its backend servers. Running gangs and requests in
flight finish.`,
		examples: []string{
			"lentilwinch evacuate -author ana -comment 'roof works' east-kiln",
			"LENTILWINCH_AUTHOR=ana lentilwinch evacuate -server 10.0.0.7:7420,10.0.0.8:7420 east-kiln",
		},
	})
}

func (a *app) restoreCommand() *ffcli.Command {
	return a.domainCommand(false, commandSpec{
		name:  "restore",
		short: "End the evacuation of a failure domain.",
		long:  "Sends a ticket that ends the evacuation of the failure domain.",
		examples: []string{
			"lentilwinch restore -author ana east-kiln",
		},
	})
}

// domainCommand completes the specification of a command that sets whether a
// failure domain is evacuated.
func (a *app) domainCommand(evacuated bool, s commandSpec) *ffcli.Command {
	fs := flag.NewFlagSet(s.name, flag.ContinueOnError)
	a.common.register(fs)
	t := structs.Ticket{}
	fs.StringVar(&t.Author, "author", os.Getenv("USER"), "`name` of the ticket's author")
	fs.StringVar(&t.Comment, "comment", "", "the ticket's comment as `text`")
	s.usage = s.name + " [flags] <domain>"
	s.long += `

The ticket gets the number after the one in force; if another ticket came first,
the conflict shows the number in force. Sending the command again is safe: the
ticket states the whole state of the failure domain. Like any ticket, it takes
effect at all instances within seconds.`
	s.minArgs, s.maxArgs = 1, 1
	s.flags = fs
	s.run = func(ctx context.Context, args []string) error {
		if err := require("author", t.Author); err != nil {
			return err
		}
		t.Domains = []structs.Domain{{Name: args[0], Evacuated: evacuated}}
		return a.sendNextTicket(ctx, t)
	}
	return newCommand(&a.help, s)
}

// sendNextTicket gives a ticket the number after the one in force and sends it.
func (a *app) sendNextTicket(ctx context.Context, t structs.Ticket) error {
	res, err := read(ctx, a, &lentilwinchv1.GetTicketRequest{}, api.GetTicket)
	if err != nil && !fault.Is(err, fault.NotFound) {
		return err
	}
	t.Number = res.GetNumber() + 1
	doc, err := json.Marshal(t)
	if err != nil {
		return fault.Wrap(fault.Internal, "encode the ticket", err)
	}
	return a.sendTicket(ctx, doc, evacuationHint)
}
