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
	// maxInputBytes bounds the size of a body, payload or document.
	maxInputBytes = 64 << 20
)

// serverList is the value of -server.
type serverList struct {
	addresses []string
}

// String returns the addresses separated by commas.
func (s *serverList) String() string {
	return strings.Join(s.addresses, ",")
}

// Set adds comma-separated addresses. It fails with fault.Invalid.
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

// orDefault returns the addresses, or the default address if there are none.
func (s *serverList) orDefault() []string {
	if len(s.addresses) == 0 {
		return []string{defaultServer}
	}
	return s.addresses
}

// commonFlags holds the flags that commands share.
type commonFlags struct {
	servers serverList
	json    bool
	quiet   bool
	timeout time.Duration
}

func (c *commonFlags) registerOutput(fs *flag.FlagSet) {
	fs.BoolVar(&c.json, "json", false, "print results and failures as JSON")
}

func (c *commonFlags) register(fs *flag.FlagSet) {
	c.registerOutput(fs)
	fs.Var(&c.servers, "server", "`IP:port` of an instance; repeat or separate by commas (default "+defaultServer+")")
	fs.BoolVar(&c.quiet, "quiet", false, "no progress on stderr")
	fs.DurationVar(&c.timeout, "timeout", defaultTimeout, "timeout of one try of a call")
}

// input holds the two flags for text that is given directly or in a file.
type input struct {
	flag string
	text string
	path string
}

func (i *input) register(fs *flag.FlagSet, name, description string) {
	i.flag = name
	fs.StringVar(&i.text, name, "", description+" as `text`")
	fs.StringVar(&i.path, name+"-file", "", description+" from a `file`, - for stdin")
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

// readInput reads a file, or stdin if path is "-". It fails with fault.Invalid.
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

// commandSpec describes a command to newCommand.
type commandSpec struct {
	name     string
	usage    string
	short    string
	long     string
	examples []string
	// minArgs and maxArgs bound the number of arguments after the flags.
	minArgs, maxArgs int
	flags            *flag.FlagSet
	run              func(ctx context.Context, args []string) error
}

// newCommand returns a command that checks its arguments and lists its examples
// in the help text.
func newCommand(help *bytes.Buffer, s commandSpec) *ffcli.Command {
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

func checkArgs(s commandSpec, args []string) error {
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

// require fails with fault.Invalid if the value of a required flag is empty.
func require(name, value string) error {
	if value == "" {
		return fault.New(fault.Invalid, "flag -"+name+" is required")
	}
	return nil
}
