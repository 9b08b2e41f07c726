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
		Name: "report", Usage: "make one HTML file of verdicts and results", ArgsUsage: "FILE ...",
		Description: "Files that end in .json are verdicts of `lab run --out`, those that end in .jsonl results of `lab experiment`.\n\n" +
			"Example: flaxcove lab report --out both.html crash.json tiers.jsonl",
		Flags: []cli.Flag{&cli.StringFlag{Name: "out", Usage: "the page", Value: "report.html"}, &cli.StringFlag{Name: "title", Value: "Laboratory report"},
			&cli.StringFlag{Name: "base", Usage: "the variant that others are compared with (default: the first)"}},
		Action: runReport,
	}
}

// runReport reads all files that the arguments name and writes them as one page.
func runReport(_ context.Context, c *cli.Command) error {
	if c.Args().Len() == 0 {
		return wrongInput(errors.New("name at least one file"))
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

// addToPage reads a file of experiment results (.jsonl) or of one verdict into the page.
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
