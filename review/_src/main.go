// Command reviewkit plays the cases of the review: it starts senders as separate processes, stands in for clients, endpoints
// and the platform, and exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"syscall"
	"time"
)

// verdict is what a case found.
type verdict struct {
	broken bool
	why    string
}

// cases are the cases by name. trouble is false for a run without the disruption.
var cases = map[string]func(rec *record, tmp string, trouble bool) (verdict, error){}

func main() {
	runtime.LockOSThread() // the processes that this thread starts end with it
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: reviewkit CASE FOLDER")
		os.Exit(2)
	}
	rec, err := openRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	tmp, err := os.MkdirTemp("", "review-")
	if err != nil {
		rec.line("cannot run: %v", err)
		os.Exit(2)
	}
	exit := func(code int) {
		killAll()
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(tmp)
		} else {
			rec.line("files are in %s", tmp)
		}
		os.Exit(code)
	}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-stopped:
		case <-time.After(115 * time.Second):
			rec.line("cannot run: out of time")
		}
		exit(2)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.line("case %s, with the disruption: %v", os.Args[1], trouble)
	v, err := cases[os.Args[1]](rec, tmp, trouble)
	switch {
	case err != nil:
		rec.line("cannot run: %v", err)
		exit(2)
	case v.broken:
		rec.line("BROKEN: %s", v.why)
		exit(1)
	}
	rec.line("held: %s", v.why)
	exit(0)
}
