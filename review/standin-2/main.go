// Command review-standin-2 is the stand-in program of the cases 6 to 10: servers, a lossy link, and for each script
// the client, the operator and the judge.
//
//	review-standin-2 server ...   one server (replica) of a service
//	review-standin-2 link ...     a link that loses packets, in front of a server
//	review-standin-2 CASE FOLDER  plays a case and writes FOLDER/record.txt
package main

import (
	"fmt"
	"os"
)

// Exit statuses of a case.
const (
	exitHeld   = 0 // the rule held
	exitBroken = 1 // the rule was broken
	exitNoRun  = 2 // the case could not run
)

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "review-standin-2: no command")
		os.Exit(exitNoRun)
	}
	switch os.Args[1] {
	case "server":
		runServer(os.Args[2:])
	case "link":
		runLink(os.Args[2:])
	default:
		play, known := cases[os.Args[1]]
		if !known || len(os.Args) != 3 {
			fmt.Fprintf(os.Stderr, "review-standin-2: unknown case %q\n", os.Args[1])
			os.Exit(exitNoRun)
		}
		os.Exit(runCase(play, os.Args[2]))
	}
}

// cases are the scripts, by name.
var cases = map[string]func(*world) (broken bool, err error){
	"order":  playOrder,
	"whole":  playWhole,
	"part":   playPart,
	"gone":   playGone,
	"region": playRegion,
}
