package probe_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/models/policy"
	"wasabislip.example/wasabislip/internal/models/reply"
	"wasabislip.example/wasabislip/internal/models/report"
	"wasabislip.example/wasabislip/internal/models/server"
	"wasabislip.example/wasabislip/internal/services/link"
	"wasabislip.example/wasabislip/internal/services/probe"
)

// instance is an instance and the network to it. After repeats is set, each answer
// arrives once more: at once, or after delay.
type instance struct {
	report  report.Report
	repeats bool
	delay   time.Duration
	dials   int
	asked   int
}

// conn is one connection to the instance, with the answers that are under way or have
// arrived.
type conn struct {
	link.Link // the rest is not used

	instance *instance
	answers  []answer
}

// answer is an answer and when it arrives.
type answer struct {
	at     time.Time
	report report.Report
}

var one = server.Server{
	ID: "i-1",
}

func (in *instance) Policy() *policy.Policy { return nil }

func (in *instance) Dial(context.Context, string) (link.Link, error) {
	in.dials++
	return &conn{
		instance: in,
	}, nil
}

func (c *conn) StartSession(string, string, string) (reply.Reply, error) {
	return reply.Reply{}, nil
}

// ask changes the instance and returns the first answer that has not been read.
func (c *conn) ask(change func(r *report.Report)) (report.Report, reply.Reply, error) {
	c.instance.asked++
	change(&c.instance.report)
	own := answer{
		at:     time.Now().Add(time.Millisecond),
		report: c.instance.report,
	}
	c.answers = append(c.answers, own)
	if c.instance.repeats {
		own.at = own.at.Add(c.instance.delay)
		c.answers = append(c.answers, own)
	}
	first := 0
	for i, a := range c.answers {
		if a.at.Before(c.answers[first].at) {
			first = i
		}
	}
	next := c.answers[first]
	c.answers = append(c.answers[:first], c.answers[first+1:]...)
	time.Sleep(time.Until(next.at))
	return next.report, reply.Reply{}, nil
}

func (c *conn) Status() (report.Report, reply.Reply, error) {
	return c.ask(func(*report.Report) {})
}

func (c *conn) PauseReplication(term uint64) (report.Report, reply.Reply, error) {
	return c.ask(func(r *report.Report) { r.PausedTerm = term })
}

func (c *conn) ResumeReplication() (report.Report, reply.Reply, error) {
	return c.ask(func(r *report.Report) { r.PausedTerm = 0 })
}

func (c *conn) StepDown(term uint64) (report.Report, reply.Reply, error) {
	return c.ask(func(r *report.Report) { r.Primary = false })
}

func (c *conn) IsOpen() bool {
	return !c.HasUnread()
}

func (c *conn) HasUnread() bool {
	for _, a := range c.answers {
		if !a.at.After(time.Now()) {
			return true
		}
	}
	return false
}

func (c *conn) SetReadDeadline(time.Time) error  { return nil }
func (c *conn) SetWriteDeadline(time.Time) error { return nil }
func (c *conn) Close() error                     { return nil }

// run runs a script with an instance that repeats its answers after a delay.
func run(t *testing.T, what string, delay time.Duration, script func(is *is.I, in *instance, p *probe.Prober)) {
	t.Run(what, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			in := &instance{
				report: report.Report{
					Primary: true,
					Term:    1,
				},
				repeats: true,
				delay:   delay,
			}
			script(is.New(t), in, probe.New(in, in))
		})
	})
}

// whileAsked is a delay with which the repetition of an answer arrives while the next
// request is under way, which is sent pause later.
const (
	pause      = 300 * time.Millisecond
	whileAsked = pause + 500*time.Microsecond
)

// Guards against the answer to an earlier request that is taken for the answer to a
// command: a replica would count as stopped from receiving, or a primary as stepped down.
func TestCommandsGetTheirOwnAnswers(t *testing.T) {
	for name, delay := range map[string]time.Duration{
		"repeated at once":                      0,
		"repeated while the next request runs":  whileAsked,
		"repeated while the second after it is": whileAsked + pause,
	} {
		run(t, name, delay, func(is *is.I, in *instance, p *probe.Prober) {
			ctx := context.Background()
			for term := uint64(2); term < 8; term++ {
				in.report.Primary = true
				_, _, err := p.Status(ctx, one)
				is.NoErr(err)
				time.Sleep(pause)
				r, _, err := p.PauseReplication(ctx, one, term)
				is.NoErr(err)
				is.Equal(r.PausedTerm, term)
				time.Sleep(pause)
				r, _, err = p.StepDown(ctx, one, term)
				is.NoErr(err)
				is.True(!r.Primary)
				time.Sleep(pause)
				r, _, err = p.ResumeReplication(ctx, one)
				is.NoErr(err)
				is.Equal(r.PausedTerm, uint64(0))
				time.Sleep(pause)
			}
		})
	}
}

// Guards against a status on a connection on which a repeated answer has arrived: it and
// all later ones would be one request old.
func TestRepeatedStatus(t *testing.T) {
	run(t, "one that has arrived is not taken for the next", 20*time.Millisecond, func(is *is.I, in *instance, p *probe.Prober) {
		for term := uint64(2); term < 8; term++ {
			in.report.Term = term
			r, _, err := p.Status(context.Background(), one)
			is.NoErr(err)
			is.Equal(r.Term, term)
			time.Sleep(pause)
		}
	})
	run(t, "of many that arrive while the next is asked for, at most one in a minute is taken for it", whileAsked, func(is *is.I, in *instance, p *probe.Prober) {
		old := 0
		for term := uint64(2); term < 100; term++ {
			in.report.Term = term
			r, _, err := p.Status(context.Background(), one)
			is.NoErr(err)
			if r.Term != term {
				old++
			}
			time.Sleep(pause)
		}
		is.True(old <= 1)
	})
	run(t, "an instance that does not repeat is asked on one connection", 0, func(is *is.I, in *instance, p *probe.Prober) {
		in.repeats = false
		for range 100 {
			_, _, err := p.Status(context.Background(), one)
			is.NoErr(err)
			time.Sleep(pause)
		}
		is.Equal(in.dials, 1)
		is.Equal(in.asked, 100)
	})
}
