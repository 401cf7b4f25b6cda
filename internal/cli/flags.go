package cli

import (
	"bytes"
	"context"
	"flag"
	"io"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/lentilwinch/lentilwinch/internal/fault"
)

const (
	envPrefix      = "LENTILWINCH"
	defaultServer  = "127.0.0.1:7420"
	defaultTimeout = 10 * time.Second
	// maxInputBytes bounds a body, payload or document that is read.
	maxInputBytes = 64 << 20
)

// serverList is the value of -server.
type serverList struct {
	addresses []string
}

// String returns the addresses with commas.
func (s *serverList) String() string {
	return strings.Join(s.addresses, ",")
}

// Set adds the addresses in a comma list. It fails with fault.Invalid.
func (s *serverList) Set(list string) error {
	for address := range strings.SplitSeq(list, ",") {
		address = strings.TrimSpace(address)
		if _, err := netip.ParseAddrPort(address); err != nil {
			return fault.New(fault.Invalid, strconv.Quote(address)+" is not IP:port")
		}
		s.addresses = append(s.addresses, address)
	}
	return nil
}

// orDefault returns the addresses, or the default one without any.
func (s *serverList) orDefault() []string {
	if len(s.addresses) == 0 {
		return []string{defaultServer}
	}
	return s.addresses
}

// common holds the flags that every command has.
type common struct {
	servers serverList
	json    bool
	quiet   bool
	timeout time.Duration
}

func (c *common) registerOutput(fs *flag.FlagSet) {
	fs.BoolVar(&c.json, "json", false, "print JSON, failures too")
}

func (c *common) register(fs *flag.FlagSet) {
	c.registerOutput(fs)
	fs.Var(&c.servers, "server", "`IP:port` of an instance; repeat or separate by commas (default "+defaultServer+")")
	fs.BoolVar(&c.quiet, "quiet", false, "no progress on stderr")
	fs.DurationVar(&c.timeout, "timeout", defaultTimeout, "time for one try of a call")
}

// input holds a pair of flags for text given directly or in a file.
type input struct {
	flag string
	text string
	path string
}

func (i *input) register(fs *flag.FlagSet, name, what string) {
	i.flag = name
	fs.StringVar(&i.text, name, "", what+" as `text`")
	fs.StringVar(&i.path, name+"-file", "", what+" from a `file`, - for stdin")
}

func (i *input) read(stdin io.Reader) ([]byte, error) {
	if i.path == "" {
		return []byte(i.text), nil
	}
	if i.text != "" {
		return nil, fault.New(fault.Invalid, "-"+i.flag+" and -"+i.flag+"-file exclude each other")
	}
	return readInput(stdin, i.path)
}

// readInput reads a file, or stdin for "-". It fails with fault.Invalid.
func readInput(stdin io.Reader, path string) ([]byte, error) {
	if path == "-" {
		return readBounded(stdin, "stdin")
	}
	file, err := os.Open(path)
	if err != nil {
		return nil, fault.Wrap(fault.Invalid, "open file", err)
	}
	defer func() { _ = file.Close() }()
	return readBounded(file, path)
}

func readBounded(r io.Reader, name string) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, maxInputBytes+1))
	if err != nil {
		return nil, fault.Wrap(fault.Invalid, "read "+name, err)
	}
	if len(data) > maxInputBytes {
		return nil, fault.New(fault.Invalid, name+" is larger than "+strconv.Itoa(maxInputBytes)+" bytes")
	}
	return data, nil
}

// spec describes a command to newCommand.
type spec struct {
	name     string
	usage    string
	short    string
	long     string
	examples []string
	// args are the least and the most arguments after the flags.
	minArgs, maxArgs int
	flags            *flag.FlagSet
	run              func(ctx context.Context, args []string) error
}

// newCommand returns a command whose help shows its examples.
func newCommand(help *bytes.Buffer, s spec) *ffcli.Command {
	s.flags.SetOutput(help)
	return &ffcli.Command{
		Name:       s.name,
		ShortUsage: "lentilwinch " + s.usage,
		ShortHelp:  s.short,
		LongHelp:   s.long + "\n\nEXAMPLES\n  " + strings.Join(s.examples, "\n  "),
		FlagSet:    s.flags,
		Options:    []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec: func(ctx context.Context, args []string) error {
			if err := checkArgs(s, args); err != nil {
				return err
			}
			return s.run(ctx, args)
		},
	}
}

func checkArgs(s spec, args []string) error {
	for _, arg := range args {
		if len(arg) > 1 && arg[0] == '-' {
			return fault.New(fault.Invalid, "flag "+arg+" must stand before the arguments; usage: lentilwinch "+s.usage)
		}
	}
	if len(args) < s.minArgs || len(args) > s.maxArgs {
		return fault.New(fault.Invalid, "wrong number of arguments; usage: lentilwinch "+s.usage)
	}
	return nil
}

// require fails with fault.Invalid when a flag that must be given is empty.
func require(name, value string) error {
	if value == "" {
		return fault.New(fault.Invalid, "flag -"+name+" is required")
	}
	return nil
}
