// Command run computes the figures of docs/CAPACITY.md. It runs the capacity benchmarks of all packages, stores their raw
// output, and writes the fits and the values at the planned sizes as JSON and Markdown.
//
//	go run ./lab/capacity/run            # all packages: about ten minutes on two threads
//	go run ./lab/capacity/run -only choice,internal/journal
//	go run ./lab/capacity/run -read      # runs no benchmark, uses the stored raw output
//
// It must not overwrite the raw output of a package unless all of the package's benchmarks have run.
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

// packages lists the packages with capacity benchmarks.
var packages = []string{"choice", "internal/sender", "internal/journal", "internal/directory", "internal/config", "internal/cluster",
	"internal/cluster/healthreport", "internal/cluster/evidence", "internal/cluster/tree", "internal/cluster/failover/assess", "internal/cluster/failover/plan",
	"internal/cluster/configuration", "internal/cluster/configuration/spread"}

const (
	// threads is GOMAXPROCS of a run, which limits its processor time including that of the garbage collector.
	threads = "2"
	timeOut = "40m" // of each package
)

func main() {
	out := flag.String("out", "docs/capacity", "folder for the results")
	only := flag.String("only", "", "comma-separated list of the packages to run (default: all)")
	most := flag.Int("most", 1_000_000, "largest size to run")
	rounds := flag.Int("rounds", 3, "number of times to run each benchmark")
	read := flag.Bool("read", false, "run no benchmark, use the stored raw output")
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

// run runs the benchmarks of packages, stores their raw output below the folder out, and writes the results.
func run(out string, packages []string, maxSize, rounds int) error {
	raw := filepath.Join(out, "raw")
	if err := os.MkdirAll(raw, 0o755); err != nil {
		return err
	}
	for _, pkg := range packages {
		text, err := measure(pkg, maxSize, rounds)
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

// measure runs the benchmarks of one package and returns their output, preceded by a line with the command.
func measure(pkg string, maxSize, rounds int) ([]byte, error) {
	args := []string{"test", "-run", "^$", "-bench", ".", "-benchtime", "100ms", "-count", fmt.Sprint(rounds), "-timeout", timeOut, "./" + pkg}
	command := exec.Command("go", args...)
	variables := []string{fmt.Sprintf("%s=%d", bench.MaxSizeVariable, maxSize), "GOMAXPROCS=" + threads}
	command.Env = append(os.Environ(), variables...)
	text, err := command.CombinedOutput()
	return append([]byte(strings.Join(append(variables, command.Args...), " ")+"\n"), text...), err
}

// write computes the results from all raw output in the folder raw, and writes them to the folder out as figures.json and
// figures.md.
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

// readFile adds the results in one file of raw output to samples.
func readFile(samples capacity.Samples, name string) error {
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer f.Close()
	return samples.Read(f)
}
