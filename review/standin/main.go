// Command standin runs the cases of the review: it starts instances of oriolegw-edge, meets them
// with a stand-in for the platform, for members and for clients, and checks one rule.
package main

import (
	"bufio"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

var cases = map[string]func(b *Bench, trouble bool) int{}

func main() {
	name := flag.String("case", "", "the case to run")
	edge := flag.String("edge", "target/oriolegw-edge", "the program of the project")
	record := flag.String("record", "record.txt", "the record to write")
	keep := flag.String("keep", "", "a folder for the instances' logs; a temporary one if empty")
	flag.Parse()
	run := cases[*name]
	if run == nil {
		fmt.Fprintln(os.Stderr, "unknown case", *name)
		os.Exit(2)
	}
	dir := *keep
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "review"); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
		defer os.RemoveAll(dir)
	}
	root, _ := os.Getwd()
	program, _ := filepath.Abs(*edge)
	if _, err := os.Stat(program); err != nil {
		fmt.Fprintln(os.Stderr, "the program is missing; run the build of the deploy file first")
		os.Exit(2)
	}
	f, err := os.Create(*record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	b := &Bench{Edge: program, Dir: dir, Root: root, start: time.Now(), record: bufio.NewWriter(f)}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-stopped
		b.KillAll()
		if *keep == "" {
			_ = os.RemoveAll(dir)
		}
		os.Exit(2)
	}()
	code := 2
	func() {
		defer func() {
			if p := recover(); p != nil {
				fmt.Fprintln(os.Stderr, "panic:", p)
				code = 2
			}
			b.KillAll()
		}()
		code = run(b, os.Getenv("TROUBLE") != "0")
	}()
	b.Log("result: %s", map[int]string{0: "0, the rule held", 1: "1, the rule was broken", 2: "2, the case could not run"}[code])
	_ = f.Close()
	if *keep == "" {
		_ = os.RemoveAll(dir)
	}
	os.Exit(code)
}
