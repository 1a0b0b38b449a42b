package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// errBroken is returned by a case that has seen the rule broken.
var errBroken = errors.New("the rule was broken")

// cases has the cases by name; each gets the name of its record, and whether the disruption comes.
var cases = map[string]func(record string, trouble bool) error{
	"short-stream": shortStream, "encoded-slash": encodedSlash, "false-promise": falsePromise, "lost-place": lostPlace,
	"plain-answer": plainAnswer,
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "runner" {
		fail(runRunner(os.Args[2:]))
	}
	run := cases[argument(1)]
	if run == nil {
		fail(fmt.Errorf("no case %q", argument(1)))
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	ended := make(chan error, 1)
	go func() { ended <- run(argument(2), os.Getenv("TROUBLE") != "0") }()
	select {
	case err := <-ended:
		fail(err)
	case <-interrupted:
		os.Exit(2) // the runners end with their inputs
	}
}

// argument returns an argument of the command line, empty if there is none.
func argument(n int) string {
	if n < len(os.Args) {
		return os.Args[n]
	}
	return ""
}

// fail ends the process: with 0 if the rule held, with 1 if it was broken, with 2 if the case could not run.
func fail(err error) {
	switch {
	case err == nil:
		os.Exit(0)
	case errors.Is(err, errBroken):
		_, _ = fmt.Fprintln(os.Stderr, err) // the exit code says the same
		os.Exit(1)
	default:
		_, _ = fmt.Fprintln(os.Stderr, err) // the exit code says the same
		os.Exit(2)
	}
}
