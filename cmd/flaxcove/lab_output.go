package main

// This file holds the output functions of the lab commands: JSON, reports, status lines and progress.

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"flaxcove/lab/referee"
	"flaxcove/lab/report"
)

// statusInterval is the minimum time between two progress lines if standard error is not a terminal.
const statusInterval = 5 * time.Second

// clearLine is the control sequence that returns to the start of a terminal's line and erases it.
const clearLine = "\r\033[K"

// printJSON writes one value to standard output as a line of JSON.
func printJSON(v any) error { return json.NewEncoder(os.Stdout).Encode(v) }

// printVerdict prints the whole result of a run as JSON if --json is set, and otherwise a summary of its verdict.
func printVerdict(c *cli.Command, result any, verdict *referee.Verdict) error {
	if c.Bool("json") {
		return printJSON(result)
	}
	return report.Summary(os.Stdout, verdict)
}

// printStatus writes a line to standard error.
func printStatus(format string, args ...any) { fmt.Fprintf(os.Stderr, format+"\n", args...) }

// writeJSON writes one value to a file as indented JSON.
func writeJSON(path string, v any) error {
	text, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}

// writeReport writes a page to a file as HTML.
func writeReport(path string, p *report.Page) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(report.HTML(file, p), file.Close())
}

// progress shows the progress of a command on standard error. On a terminal it replaces the same line each time; elsewhere it
// prints a new line at most once in statusInterval.
type progress struct {
	terminal bool      // standard error is a terminal
	lastLine time.Time // when the last line was printed, if standard error is not a terminal
}

// newProgress returns a progress, and determines whether standard error is a terminal.
func newProgress() *progress {
	info, err := os.Stderr.Stat()
	return &progress{terminal: err == nil && info.Mode()&os.ModeCharDevice != 0}
}

// show replaces the progress line. If standard error is not a terminal, it prints a new line, or nothing if less than
// statusInterval has passed since the last one.
func (p *progress) show(format string, args ...any) {
	switch {
	case p.terminal:
		fmt.Fprintf(os.Stderr, clearLine+format, args...)
	case time.Since(p.lastLine) > statusInterval:
		p.lastLine = time.Now()
		fmt.Fprintf(os.Stderr, format+"\n", args...)
	}
}

// clear erases the progress line. It does nothing if standard error is not a terminal.
func (p *progress) clear() {
	if p.terminal {
		fmt.Fprint(os.Stderr, clearLine)
	}
}
