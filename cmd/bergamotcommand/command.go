package bergamotcommand

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

// commands declares the command line; kong takes the names of commands and flags from the field names.
type commands struct {
	Serve    serveCommand    `cmd:"" help:"Run an entry instance."`
	Platform platformCommand `cmd:"" help:"Run an entry on the platform whose settings file the environment names."`
	Bundle   bundleCommand   `cmd:"" help:"Take a bundle from a text to the one in force."`
	Check    checkCommand    `cmd:"" help:"Check a settings file or a bundle and print every fault."`
	Status   statusCommand   `cmd:"" help:"Show the state of entries."`
	Layout   layoutCommand   `cmd:"" help:"Show the entries on the users' platform and which runners hold which layers."`
	Claims   claimsCommand   `cmd:"" help:"List and settle calls that may not be repeated."`
	Demo     demoCommand     `cmd:"" help:"Run fakes and two entries on loopback and send sample requests."`
	Version  versionCommand  `cmd:"" help:"Print the version."`
	Fake     fakeCommand     `cmd:"" hidden:"" help:"Run one fake of the platform or a target."`
}

// streams holds the context of a command and the writers for its output.
type streams struct {
	ctx context.Context
	out io.Writer
	err io.Writer
}

// Main runs the command line and returns the exit code: 0 for success, 1 for a failure, 2 for wrong usage.
func Main(args []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	exitCode := -1
	parser, err := kong.New(&commands{}, kong.Name("bergamotspur"), kong.Writers(out, errOut),
		kong.Description("Routes inference requests over pipelines of mixed accelerators."),
		kong.UsageOnError(), kong.Exit(func(code int) { exitCode = code }))
	if err != nil {
		return fail(errOut, err)
	}
	parsed, err := parser.Parse(args)
	if exitCode >= 0 { // --help has been printed
		return exitCode
	}
	if err != nil {
		_, _ = fmt.Fprintf(errOut, "bergamotspur: %s\n", err)
		return 2
	}
	if err = parsed.Run(&streams{ctx: ctx, out: out, err: errOut}); err != nil {
		return fail(errOut, err)
	}
	return 0
}

func fail(errOut io.Writer, err error) int {
	// A failed write to standard error cannot be reported anywhere.
	_, _ = fmt.Fprintf(errOut, "bergamotspur: %s\n", err)
	return 1
}

func (s *streams) printf(format string, a ...any) {
	// The error is ignored: a write to a closed standard output raises SIGPIPE, which ends the process.
	_, _ = fmt.Fprintf(s.out, format, a...)
}
