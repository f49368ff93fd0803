package main

import (
	"context"
	"flag"
	"io"
	"os"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/explainer"
	"github.com/oriolegw/oriolegw/internal/summarizer"
)

func prepareReport(f *flag.FlagSet, t *terminal) func(context.Context, []string) error {
	output := f.String("o", "report.html", "the `file` to write the report to")
	return func(_ context.Context, args []string) error {
		if len(args) == 0 {
			return usageError{"expected at least one log file"}
		}
		var logs []io.Reader
		for _, a := range args {
			opened, err := os.Open(a)
			if err != nil {
				return errors.Wrap(err, "open log")
			}
			defer opened.Close()
			logs = append(logs, opened)
		}
		lines, err := explainer.ParseLog(io.MultiReader(logs...))
		if err != nil {
			return err
		}
		if len(lines) == 0 {
			return errors.New("the logs contain no lines of entry instances")
		}
		out, err := os.Create(*output)
		if err != nil {
			return errors.Wrap(err, "write report")
		}
		if err := summarizer.Summarize(lines).Write(out); err != nil {
			_ = out.Close()
			return errors.Wrap(err, "write report")
		}
		return out.Close()
	}
}
