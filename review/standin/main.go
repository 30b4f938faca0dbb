package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// cases are the cases by name. Each returns an error if it could not run.
var cases = map[string]func(f *Fleet, trouble bool) error{}

// shapes are the deployments of the cases.
var shapes = map[string]Shape{}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: casehost CASE FOLDER")
		os.Exit(2)
	}
	run := cases[os.Args[1]]
	if run == nil {
		fmt.Fprintln(os.Stderr, "unknown case")
		os.Exit(2)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	f, err := newFleet(os.Args[2], shapes[os.Args[1]])
	if err != nil {
		fmt.Println("could not run:", err)
		os.Exit(2)
	}
	// A case that hangs, or is ended from outside, could not run. It leaves nothing behind.
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		select {
		case <-ended:
			fmt.Println("could not run: ended from outside")
		case <-time.After(115 * time.Second):
			fmt.Println("could not run: no end within 115 s")
		}
		f.close()
		os.Exit(2)
	}()
	f.note("case", "name", os.Args[1], "trouble", trouble)
	if err = f.start(); err == nil {
		f.note("system_ready")
		err = run(f, trouble)
	}
	f.mu.Lock()
	broken := append([]string(nil), f.broken...)
	f.mu.Unlock()
	code := 0
	switch {
	case err != nil:
		f.note("could_not_run", "cause", err)
		fmt.Println("could not run:", err)
		code = 2
	case len(broken) > 0:
		fmt.Printf("broken: %s\n(%d findings)\n", broken[0], len(broken))
		code = 1
	default:
		fmt.Println("held")
	}
	f.note("end", "exit", code, "findings", len(broken))
	f.close()
	os.Exit(code)
}
