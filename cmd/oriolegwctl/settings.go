package main

import (
	"context"
	"flag"
	"fmt"

	"github.com/oriolegw/oriolegw/internal/loader"
)

func prepareSettings(f *flag.FlagSet, t *terminal) func(context.Context, []string) error {
	running := f.String("running", "", "the settings `file` that the instance was started with, for comparison")
	return func(_ context.Context, args []string) error {
		if len(args) != 1 {
			return usageError{"expected one settings file"}
		}
		next, err := loader.LoadEdgeSettings(args[0])
		if err != nil {
			return err
		}
		if *running == "" {
			fmt.Fprintf(t.out, "%s: valid\n", args[0])
			return nil
		}
		now, err := loader.LoadEdgeSettings(*running)
		if err != nil {
			return err
		}
		changes := loader.CompareEdgeSettings(now, next)
		for _, c := range changes {
			fmt.Fprintf(t.out, "%s: %s -> %s, at the next start\n", c.Key, c.From, c.To)
		}
		if len(changes) == 0 {
			fmt.Fprintln(t.out, "no change")
		}
		return nil
	}
}
