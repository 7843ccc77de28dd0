// Command harness plays one case of the review: it starts the product's hosts as
// processes, with stand-ins for the platform, the instances and the clients, and checks
// one rule. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could
// not run. With TROUBLE=0 in the environment it leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes.
const (
	held   = 0
	broken = 1
	failed = 2
)

// scenarios are the cases by name.
var scenarios = map[string]scenario{
	"newline":  playNewline,
	"settings": playSettings,
}

// scenario plays a case and returns what broke the rule.
type scenario func(rec *record, dir string, trouble bool) (violations []string, err error)

func main() {
	os.Exit(runCase())
}

func runCase() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness newline|settings RECORD")
		return failed
	}
	out, err := os.Create(filepath.Clean(os.Args[2]))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer out.Close()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer os.RemoveAll(dir)
	rec := &record{
		out:   out,
		began: time.Now(),
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.log("case %s, disruption %t", os.Args[1], trouble)
	violations, err := scenarios[os.Args[1]](rec, dir, trouble)
	for _, v := range violations {
		rec.log("BROKEN: %s", v)
		fmt.Println("BROKEN:", v)
	}
	switch {
	case err != nil:
		rec.log("the case could not run: %s", err)
		fmt.Println("the case could not run:", err)
		return failed
	case len(violations) > 0:
		return broken
	}
	rec.log("the rule held")
	fmt.Println("the rule held")
	return held
}
