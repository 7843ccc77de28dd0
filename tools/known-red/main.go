// Command known-red runs all tests with the race detector and compares the
// failures with the known failures in KNOWN-RED.txt. It prints the known ones
// and exits with an error if there are others.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"strings"
)

const (
	listFile = "KNOWN-RED.txt"
	// testTimeout is go test's limit for the tests of one package.
	testTimeout = "30m"
)

// event is one line of the output of go test -json.
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// failure names a failed test. test is empty if the package itself failed. crash is
// set then if the output shows one of the known crashes, in any package.
type failure struct {
	pkg   string
	test  string
	crash string
}

// anyPackage stands in place of a package for a known crash, whose line has a further
// field: a text that the output of the package must contain.
const anyPackage = "*"

func main() {
	known, err := readKnown(listFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	failed, passed, err := runTests(known)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	unexpected := report(known, failed)
	fmt.Printf("%d passed, %d failed\n", passed, unexpected)
	if unexpected > 0 || passed == 0 {
		os.Exit(1)
	}
}

// readKnown returns the known failures, each with its whole line.
func readKnown(name string) (map[failure]string, error) {
	body, err := os.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("known-red: %w; run it at the repository's root", err)
	}
	known := map[failure]string{}
	for line := range strings.Lines(string(body)) {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		fields := strings.Split(line, "\t")
		if len(fields) < 5 {
			return nil, fmt.Errorf("%s: %q: want package, test, command, what was seen and issue, parted by tabs", name, line)
		}
		f := failure{
			pkg:  fields[0],
			test: fields[1],
		}
		if f.pkg == anyPackage {
			if len(fields) < 6 || fields[5] == "" {
				return nil, fmt.Errorf("%s: %q: a crash in any package needs a sixth field: the text that shows it", name, line)
			}
			f.crash = fields[5]
		}
		known[f] = line
	}
	return known, nil
}

// runTests runs all tests, prints the closing lines of packages and the output of
// failed tests, and returns the failures and the number of passed tests.
func runTests(known map[failure]string) ([]failure, int, error) {
	cmd := exec.Command("go", "test", "-race", "-timeout", testTimeout, "-json", "./...")
	cmd.Stderr = os.Stderr
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, 0, err
	}
	if err := cmd.Start(); err != nil {
		return nil, 0, err
	}
	var failed []failure
	passed := 0
	outputs := map[failure]*strings.Builder{}
	scan := bufio.NewScanner(out)
	scan.Buffer(nil, 1<<24)
	for scan.Scan() {
		var e event
		if json.Unmarshal(scan.Bytes(), &e) != nil {
			fmt.Println(scan.Text())
			continue
		}
		f := failure{
			pkg:  e.Package,
			test: e.Test,
		}
		switch e.Action {
		case "output":
			keepOutput(outputs, f, e.Output)
		case "build-output":
			fmt.Print(e.Output)
		case "pass":
			if e.Test != "" {
				passed++
			}
			delete(outputs, f)
		case "fail":
			failed = append(failed, withCrash(known, outputs, f))
			printOutput(outputs, f)
		}
	}
	if err := scan.Err(); err != nil {
		return nil, 0, err
	}
	if err := cmd.Wait(); err != nil && len(failed) == 0 {
		return nil, 0, fmt.Errorf("known-red: go test: %w", err)
	}
	return failed, passed, nil
}

// withCrash returns a failure with the known crash that its output shows. Only a
// package fails by a crash: its tests are left without a verdict.
func withCrash(known map[failure]string, outputs map[failure]*strings.Builder, failed failure) failure {
	if failed.test != "" {
		return failed
	}
	for k := range known {
		for f, b := range outputs {
			if k.crash != "" && f.pkg == failed.pkg && strings.Contains(b.String(), k.crash) {
				failed.crash = k.crash
			}
		}
	}
	return failed
}

// printOutput prints the output of a failed test. For a failed package it prints also
// that of its tests without a verdict: the process ended while they ran.
func printOutput(outputs map[failure]*strings.Builder, failed failure) {
	for f, b := range outputs {
		if f == failed || failed.test == "" && f.pkg == failed.pkg {
			fmt.Print(b.String())
			delete(outputs, f)
		}
	}
}

// keepOutput stores a test's output until the test has passed or failed. The
// closing line of a package that passed is printed at once.
func keepOutput(outputs map[failure]*strings.Builder, f failure, text string) {
	if f.test == "" && strings.HasPrefix(text, "ok ") {
		fmt.Print(text)
		return
	}
	b := outputs[f]
	if b == nil {
		b = &strings.Builder{}
		outputs[f] = b
	}
	b.WriteString(text)
}

// report prints all failures and returns how many are not known. A package fails
// if one of its tests fails, and a test if one of its subtests does. Such a
// failure counts as known if all failures below it are known.
func report(known map[failure]string, failed []failure) int {
	unexpected := 0
	for _, f := range failed {
		if line, ok := known[f]; ok {
			fmt.Println("known red:", line)
			continue
		}
		crash := failure{
			pkg:   anyPackage,
			crash: f.crash,
		}
		if line, ok := known[crash]; ok && f.crash != "" {
			fmt.Println("known red:", f.pkg, line)
			continue
		}
		if allBelowKnown(known, failed, f) {
			continue
		}
		fmt.Println("failed:", f.pkg, f.test)
		unexpected++
	}
	return unexpected
}

// allBelowKnown reports whether failures below f exist and all of them are known.
func allBelowKnown(known map[failure]string, failed []failure, f failure) bool {
	below := 0
	for _, g := range failed {
		if g == f || g.pkg != f.pkg || !strings.HasPrefix(g.test, f.test) {
			continue
		}
		if f.test != "" && !strings.HasPrefix(g.test, f.test+"/") {
			continue
		}
		if _, ok := known[g]; !ok && !allBelowKnown(known, failed, g) {
			return false
		}
		below++
	}
	return below > 0
}
