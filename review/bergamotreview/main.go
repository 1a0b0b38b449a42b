package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0 // the rule held
	exitBroken = 1 // the rule was broken
	exitNotRun = 2 // the case could not run
)

// maxCaseTime ends a case that hangs before the limit of 120 s for a script.
const maxCaseTime = 100 * time.Second

// caseFunc plays a case and returns what broke the rule, one line each.
type caseFunc func(ctx context.Context, b *bench, trouble bool) (broken []string, err error)

var cases = map[string]caseFunc{
	"stop":    playStop,
	"slashes": playSlashes,
	"many":    playMany,
	"deadly":  playDeadly,
	"leave":   playLeave,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: bergamotreview CASE RECORD")
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	b, err := newBench(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer b.close()
	ctx, cancel := context.WithTimeout(context.Background(), maxCaseTime)
	defer cancel()
	b.log("case %s, with the disruption: %v", args[0], trouble)
	broken, err := cases[args[0]](ctx, b, trouble)
	if err = errors.Join(err, ctx.Err()); err != nil {
		b.log("could not run: %v", err)
		return exitNotRun
	}
	for _, line := range broken {
		b.log("BROKEN: %s", line)
	}
	b.log("result: the rule was broken %d times", len(broken))
	if len(broken) > 0 {
		return exitBroken
	}
	return exitHeld
}
