package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/urfave/cli/v3"

	"flaxcove/lab/experiment"
	"flaxcove/lab/referee"
	"flaxcove/lab/report"
)

func labReport() *cli.Command {
	return &cli.Command{
		Name: "report", Usage: "write verdicts and results as one HTML file", ArgsUsage: "FILE ...",
		Description: "Files whose names end in .jsonl are read as results of `lab experiment`, all others as verdicts of\n`lab run --out`.\n\n" +
			"Example: flaxcove lab report --out both.html crash.json tiers.jsonl",
		Flags: []cli.Flag{&cli.StringFlag{Name: "out", Usage: "path of the HTML file", Value: "report.html"}, &cli.StringFlag{Name: "title", Value: "Laboratory report"},
			&cli.StringFlag{Name: "base", Usage: "the variant with which the others are compared (default: the first)"}},
		Action: runReport,
	}
}

// runReport reads all files that the arguments name, writes them as one page, and prints the path of the page.
func runReport(_ context.Context, c *cli.Command) error {
	if c.Args().Len() == 0 {
		return wrongInput(errors.New("expected at least one argument: a file of verdicts or results"))
	}
	page := &report.Page{Title: c.String("title"), Base: c.String("base")}
	for _, path := range c.Args().Slice() {
		if err := addToPage(page, path); err != nil {
			return wrongInput(err)
		}
	}
	file := c.String("out")
	if err := writeReport(file, page); err != nil {
		return err
	}
	fmt.Println(file)
	return nil
}

// addToPage reads a file and adds its contents to the page: experiment results if its name ends in .jsonl, otherwise one
// verdict.
func addToPage(page *report.Page, path string) error {
	if strings.HasSuffix(path, ".jsonl") {
		results, err := experiment.ReadResults(path)
		if err != nil {
			return err
		}
		page.Results = append(page.Results, results...)
		return nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	verdict := &referee.Verdict{}
	if err := json.Unmarshal(text, verdict); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	page.Verdicts = append(page.Verdicts, verdict)
	return nil
}
