package cli

import (
	"context"
	"encoding/json"
	"flag"
	"strconv"

	"github.com/peterbourgon/ff/v3/ffcli"

	lentilwinchv1 "github.com/lentilwinch/lentilwinch/gen/lentilwinch/v1"
	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/ticket"
)

func (a *app) applyCommand() *ffcli.Command {
	fs := flag.NewFlagSet("apply", flag.ContinueOnError)
	a.common.register(fs)
	return newCommand(&a.help, commandSpec{
		name:  "apply",
		usage: "apply [flags] <file>",
		short: "Put a change ticket into force.",
		long: `Sends a numbered ticket from a file, or from stdin for "-". Its number must follow
the one in force; if another ticket came first, the conflict shows the number in
force. Sending the same ticket again is safe.`,
		examples: []string{
			"lentilwinch apply examples/willow/1.json",
			"lentilwinch apply -json - < ticket.json",
		},
		minArgs: 1, maxArgs: 1,
		flags: fs,
		run:   a.apply,
	})
}

func (a *app) apply(ctx context.Context, args []string) error {
	doc, err := readInput(a.stdin, args[0])
	if err != nil {
		return err
	}
	if len(doc) > ticket.MaxDocumentBytes {
		return fault.New(fault.Invalid, args[0]+" is larger than "+strconv.Itoa(ticket.MaxDocumentBytes)+" bytes")
	}
	return a.sendTicket(ctx, doc, "The ticket may have been accepted. Send the same file again, or check with: lentilwinch ticket")
}

// sendTicket sends a ticket's document and prints its number. The hint tells what
// to do if the ticket may have been accepted.
func (a *app) sendTicket(ctx context.Context, doc []byte, hint string) error {
	stop := a.startProgress("waiting for the ticket to be accepted")
	res, err := invoke(ctx, a, &lentilwinchv1.ApplyRequest{Document: doc}, api.Apply)
	stop()
	if err != nil {
		return withHint(err, hint)
	}
	number := res.GetNumber()
	a.print(ticketView{Number: number}, "ticket "+strconv.FormatInt(number, 10)+" accepted; it takes effect at all instances within seconds")
	return nil
}

func (a *app) ticketCommand() *ffcli.Command {
	fs := flag.NewFlagSet("ticket", flag.ContinueOnError)
	a.common.register(fs)
	return newCommand(&a.help, commandSpec{
		name:  "ticket",
		usage: "ticket [flags] [<number>]",
		short: "Show an accepted ticket.",
		long:  "Prints the ticket with the number, or the newest one.",
		examples: []string{
			"lentilwinch ticket",
			"lentilwinch ticket -json 12",
		},
		maxArgs: 1,
		flags:   fs,
		run:     a.ticket,
	})
}

func (a *app) ticket(ctx context.Context, args []string) error {
	var number int64
	if len(args) == 1 {
		n, err := strconv.ParseInt(args[0], 10, 64)
		if err != nil || n < 1 {
			return fault.New(fault.Invalid, strconv.Quote(args[0])+" is not a ticket number of 1 or more")
		}
		number = n
	}
	res, err := read(ctx, a, &lentilwinchv1.GetTicketRequest{Number: number}, api.GetTicket)
	if err != nil {
		return err
	}
	doc, err := rawJSON(res.GetDocument())
	if err != nil {
		return err
	}
	a.print(ticketView{Number: res.GetNumber(), Document: doc}, string(res.GetDocument()))
	return nil
}

// rawJSON validates JSON received from a server. It fails with fault.Internal.
func rawJSON(raw []byte) (json.RawMessage, error) {
	if len(raw) == 0 {
		return nil, nil
	}
	if !json.Valid(raw) {
		return nil, fault.New(fault.Internal, "the server sent a document that is not JSON")
	}
	return raw, nil
}
