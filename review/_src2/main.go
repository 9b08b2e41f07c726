// Review2 plays the cases 6 to 10 of the review: it starts senders by the deploy file, stands in for clients, endpoints,
// discovery and the platform, and says whether a rule of the pages was broken.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// longestRun is the longest time of a run; the cases may take 120 s.
const longestRun = 110 * time.Second

// A case returns true if the rule was broken. An error means that the case could not run.
var cases = map[string]func(*run) (bool, error){}

// run is one run of a case.
type run struct {
	*record
	trouble bool // false: the same without the disruption
	root    string
	tmp     string
	senders []*sender
}

// sender returns a new sender with a folder and an address of its own.
func (r *run) sender(name string) *sender {
	s := &sender{rec: r.record, name: name, root: r.root, folder: filepath.Join(r.tmp, name), listen: freeAddr()}
	os.MkdirAll(s.folder, 0o700)
	r.senders = append(r.senders, s)
	return s
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review2 CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(test func(*run) (bool, error), folder string) int {
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	root, err := os.Getwd()
	if err != nil {
		return 2
	}
	tmp, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return 2
	}
	r := &run{record: rec, trouble: os.Getenv("TROUBLE") != "0", root: root, tmp: tmp}
	defer func() {
		for _, s := range r.senders {
			s.kill()
		}
		if os.Getenv("KEEP") == "" {
			os.RemoveAll(tmp)
		}
	}()
	time.AfterFunc(longestRun, func() {
		r.add("the case could not run: it is not over after %v", longestRun)
		for _, s := range r.senders {
			s.cmd.Process.Kill()
		}
		os.Exit(2)
	})
	broken, err := test(r)
	switch {
	case err != nil:
		r.add("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case broken:
		r.add("RULE BROKEN")
		fmt.Println("rule broken")
		return 1
	}
	r.add("rule held")
	fmt.Println("rule held")
	return 0
}
