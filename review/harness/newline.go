package main

import (
	"fmt"
	"strconv"
	"strings"
)

// playNewline checks UNASKED: instances run only statements that clients sent, with
// their text unchanged. The disruption is a line feed, without a carriage return, in the
// data of a write: messages end with CR LF, so that it is part of the data.
func playNewline(rec *record, dir string, trouble bool) ([]string, error) {
	f, err := newFleet(rec, dir, 3)
	defer f.stop()
	if err != nil {
		return nil, err
	}
	separator := " "
	if trouble {
		separator = "\n"
	}
	sent := map[string]string{}
	do := func(c *client, id, text string) answer {
		sent[id] = text
		return c.doAs(id, text)
	}
	var violations []string
	for n, h := range f.hosts {
		note, err := openSession(rec, fmt.Sprintf("note-%d", n), h.callers)
		if err != nil {
			return nil, err
		}
		// A note of two lines.
		text := fmt.Sprintf("WRITE note-%d returned at noon%sin good order", n, separator)
		do(note, note.nextID(), text)
		note.close()
		// A note whose second line has the form of a message.
		other, err := openSession(rec, fmt.Sprintf("other-%d", n), h.callers)
		if err != nil {
			return nil, err
		}
		do(other, other.nextID(), fmt.Sprintf("WRITE note-%d thanks%sQUERY forged-%d WRITE deposit-%d 0", n+10, separator, n, n))
		other.close()
		plain, err := openSession(rec, fmt.Sprintf("plain-%d", n), h.callers)
		if err != nil {
			return nil, err
		}
		if a := do(plain, plain.nextID(), fmt.Sprintf("WRITE plain-%d paid", n)); !a.isSuccess() {
			return nil, fmt.Errorf("a write without a line feed was not served: %s", a)
		}
		plain.close()
	}
	for _, r := range f.group.listRuns() {
		text, ok := sent[r.id]
		switch {
		case strings.HasPrefix(r.id, warmUpPrefix):
		case !ok:
			violations = append(violations, fmt.Sprintf("%s ran statement %s, %s, which no client sent", r.instance, r.id, strconv.Quote(r.text)))
		case text != r.text:
			violations = append(violations, fmt.Sprintf("%s ran statement %s as %s; its client sent %s", r.instance, r.id, strconv.Quote(r.text), strconv.Quote(text)))
		}
	}
	if len(violations) == 0 && trouble && !strings.Contains(fmt.Sprint(f.group.listRuns()), "\n") {
		rec.log("no statement with a line feed was run")
	}
	return violations, nil
}
