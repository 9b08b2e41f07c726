// Command run computes the figures of docs/CAPACITY.md: it runs the capacity benchmarks of all packages, stores their raw
// output, and writes the fits and the values at the planned sizes as JSON and Markdown.
//
//	go run ./lab/capacity/run            # all packages, some ten minutes; two threads
//	go run ./lab/capacity/run -only choice,internal/journal
//	go run ./lab/capacity/run -read      # from the raw output as it is
//
// It must not change the raw output of a package whose benchmarks did not all run.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"flaxcove/lab/capacity"
	"flaxcove/lab/capacity/bench"
)

// packages are the packages with capacity benchmarks.
var packages = []string{"choice", "internal/sender", "internal/journal", "internal/directory", "internal/config", "internal/cluster",
	"internal/cluster/healthreport", "internal/cluster/evidence", "internal/cluster/tree", "internal/cluster/failover/assess", "internal/cluster/failover/plan",
	"internal/cluster/configuration", "internal/cluster/configuration/spread"}

const (
	// threads bounds the processor time of a run, including the garbage collector's.
	threads = "2"
	timeOut = "40m"
)

func main() {
	out := flag.String("out", "docs/capacity", "the folder of the results")
	only := flag.String("only", "", "packages to run, by commas, in place of all")
	most := flag.Int("most", 1_000_000, "the largest size that is run")
	rounds := flag.Int("rounds", 3, "times that each is run")
	read := flag.Bool("read", false, "run nothing")
	flag.Parse()
	all := packages
	if *only != "" {
		all = strings.Split(*only, ",")
	}
	if *read {
		all = nil
	}
	if err := run(*out, all, *most, *rounds); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(out string, all []string, most, rounds int) error {
	raw := filepath.Join(out, "raw")
	if err := os.MkdirAll(raw, 0o755); err != nil {
		return err
	}
	for _, pkg := range all {
		text, err := measure(pkg, most, rounds)
		if err != nil {
			return fmt.Errorf("%s: %w\n%s", pkg, err, text)
		}
		name := strings.ReplaceAll(pkg, "/", "-") + ".txt"
		if err := os.WriteFile(filepath.Join(raw, name), text, 0o644); err != nil {
			return err
		}
		fmt.Println(name)
	}
	return write(out, raw)
}

// measure runs one package's benchmarks. Its output begins with the command.
func measure(pkg string, most, rounds int) ([]byte, error) {
	args := []string{"test", "-run", "^$", "-bench", ".", "-benchtime", "100ms", "-count", fmt.Sprint(rounds), "-timeout", timeOut, "./" + pkg}
	command := exec.Command("go", args...)
	set := []string{fmt.Sprintf("%s=%d", bench.MaxSizeVariable, most), "GOMAXPROCS=" + threads}
	command.Env = append(os.Environ(), set...)
	text, err := command.CombinedOutput()
	return append([]byte(strings.Join(append(set, command.Args...), " ")+"\n"), text...), err
}

// write makes the results of all raw output.
func write(out, raw string) error {
	files, err := filepath.Glob(filepath.Join(raw, "*.txt"))
	if err != nil {
		return err
	}
	samples := capacity.Samples{}
	for _, name := range files {
		if err := readFile(samples, name); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	text, err := json.MarshalIndent(capacity.Figures(samples), "", "\t")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(out, "figures.json"), append(text, '\n'), 0o644); err != nil {
		return err
	}
	const head = "# Figures\n\nWritten by `go run ./lab/capacity/run` from the raw output beside it; what they mean stands in [CAPACITY.md](../CAPACITY.md).\n\n"
	return os.WriteFile(filepath.Join(out, "figures.md"), []byte(head+capacity.Markdown(samples)), 0o644)
}

func readFile(samples capacity.Samples, name string) error {
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer f.Close()
	return samples.Read(f)
}
