package main

import (
	"context"
	"flag"
	"io"
	"os"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/explainer"
)

func prepareExplain(f *flag.FlagSet, t *terminal) func(context.Context, []string) error {
	file := f.String("log", "", "the log `file` of one or more entry instances; the default is standard input")
	return func(_ context.Context, args []string) error {
		if len(args) != 1 {
			return usageError{"expected one request id"}
		}
		log := t.in
		if *file != "" {
			opened, err := os.Open(*file)
			if err != nil {
				return errors.Wrap(err, "open log")
			}
			defer opened.Close()
			log = io.Reader(opened)
		}
		x, err := explainer.Explain(log, args[0])
		if err != nil {
			return err
		}
		x.Write(t.out)
		return nil
	}
}
