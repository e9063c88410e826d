package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"
)

var errNotReady = errors.New("the system did not get ready")

var cases = map[string]func(*record, bool) (bool, error){
	"splice": splice, "unmarked": unmarked, "versions": versions, "limit": limit, "unframed": unframed,
}

func statusName(status int) string {
	if status == 0 {
		return "none"
	}
	return strconv.Itoa(status)
}

// main exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
func main() {
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	play := cases[flag.Arg(0)]
	if play == nil {
		fmt.Fprintln(os.Stderr, "which case?")
		os.Exit(2)
	}
	file, err := os.Create(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	defer file.Close()
	trouble := os.Getenv("TROUBLE") != "0"
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-ended
		killAll()
		os.Exit(2)
	}()
	rec := &record{file: file, begin: time.Now()}
	rec.line("case %s, trouble %v", flag.Arg(0), trouble)
	broken, err := play(rec, trouble)
	switch {
	case err != nil:
		rec.line("could not run: %v", err)
		fmt.Println("could not run:", err)
		os.Exit(2)
	case broken:
		rec.line("result: the rule was broken")
		fmt.Println("the rule was broken")
		os.Exit(1)
	}
	rec.line("result: the rule held")
	fmt.Println("the rule held")
}
