package main

import (
	"fmt"
	"os"
	"time"
)

// darkRepeats is how often the request is sent; others wait for dark runners meanwhile.
const darkRepeats = 16

// playDarkCrash sends a request again and again on which each runner that begins to run it goes dark. It is ended, and back after restartDelay.
func playDarkCrash(d *deployment, _ bool) (string, error) {
	if err := os.Setenv("DEADLY", "1"); err != nil {
		return "", err
	}
	var err error
	if d.store, err = newStore(); err != nil {
		return "", err
	}
	if err = d.store.put("op", "config", desiredState()); err != nil {
		return "", err
	}
	addresses, err := freePorts("127.0.0.1", 8)
	if err != nil {
		return "", err
	}
	zone := func(n int) string { return []string{"z-a", "z-b"}[n%2] }
	runs := &deadlyRuns{}
	var start func(n int) error
	start = func(n int) error {
		p, err := d.startRunnerProcess(fmt.Sprint("advice-", n), "advice", zone(n), addresses[n])
		if err != nil {
			return err
		}
		p.setDark(func() {
			runs.add()
			time.AfterFunc(restartDelay, func() {
				p.kill()
				d.record.write(p.id, "ended")
				if err := start(n); err != nil {
					d.record.write(p.id, "not started again: %v", err)
				}
			})
		})
		return nil
	}
	for n := range addresses {
		if err = start(n); err != nil {
			return "", err
		}
	}
	for n := range 3 {
		if _, err = d.startEntry(n, zone(n)); err != nil {
			return "", err
		}
	}
	if err = d.waitServed(d.askStream); err != nil {
		return "", err
	}
	return d.repeatDeadly(runs, darkRepeats)
}
