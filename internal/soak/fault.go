package soak

import (
	"context"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"

	"wasabislip.example/wasabislip/internal/standin/netem"
	"wasabislip.example/wasabislip/internal/standin/rowsrv"
)

const (
	// faultPause is the longest pause between two faults; they last longer, so
	// that they overlap.
	faultPause = 1200 * time.Millisecond
	// faultLeast and faultMost bound how long one lasts.
	faultLeast = 300 * time.Millisecond
	faultMost  = 4 * time.Second
)

// faults injects faults until the run's time is over, and waits for the last.
func (s *Soak) faults(ctx context.Context) {
	kinds := []struct {
		name string
		run  func(d time.Duration, pick int)
	}{
		{name: "kill a host", run: s.kill},
		{name: "stop a host", run: s.terminate},
		{name: "pause a host", run: s.pause},
		{name: "send a host SIGHUP", run: s.hangUp},
		{name: "cut a host from the store", run: s.cutStore},
		{name: "cut an instance", run: s.cutInstance},
		{name: "delay an instance", run: s.delayInstance},
		{name: "fault of the store", run: s.faultStore},
		{name: "forget the store's history", run: func(time.Duration, int) { s.store.Compact() }},
		{name: "crash the primary", run: s.crash},
		{name: "deafen a replica", run: s.deafen},
		{name: "lose an instance's answers", run: s.loseAnswers},
	}
	var running conc.WaitGroup
	defer running.Wait()
	for end := time.Now().Add(s.For); time.Now().Before(end) && ctx.Err() == nil; {
		k := kinds[s.random.IntN(len(kinds))]
		d := faultLeast + time.Duration(s.random.Int64N(int64(faultMost-faultLeast)))
		pick := s.random.IntN(1 << 16)
		s.say("%s, %d, for %s", k.name, pick, d.Round(time.Millisecond))
		running.Go(func() {
			k.run(d, pick)
		})
		wait(ctx, time.Duration(s.random.Int64N(int64(faultPause))))
	}
}

func (s *Soak) pick(n int) *process {
	return s.hosts[n%len(s.hosts)]
}

func (s *Soak) kill(d time.Duration, n int) {
	p := s.pick(n)
	p.signal(syscall.SIGKILL, true)
	p.restart(d / 4)
}

func (s *Soak) terminate(d time.Duration, n int) {
	p := s.pick(n)
	p.signal(syscall.SIGTERM, true)
	p.restart(d / 4)
}

func (s *Soak) pause(d time.Duration, n int) {
	p := s.pick(n)
	p.signal(syscall.SIGSTOP, false)
	time.Sleep(d)
	p.signal(syscall.SIGCONT, false)
}

func (s *Soak) hangUp(_ time.Duration, n int) {
	s.pick(n).signal(syscall.SIGHUP, false)
}

// cuts are the ways in which a cable is cut.
var cuts = []string{netem.CutBoth, netem.CutToTarget, netem.CutToClient}

func (s *Soak) cutStore(d time.Duration, n int) {
	s.disturb(s.pick(n).store, cuts[n%len(cuts)], 0, d)
}

func (s *Soak) cutInstance(d time.Duration, n int) {
	s.disturb(s.ways[n%len(s.ways)], cuts[n/7%len(cuts)], 0, d)
}

func (s *Soak) delayInstance(d time.Duration, n int) {
	s.disturb(s.ways[n%len(s.ways)], netem.CutNone, time.Duration(n%150)*time.Millisecond, d)
}

func (s *Soak) disturb(c *netem.Relay, cut string, delay, d time.Duration) {
	if err := c.Set(cut, delay); err != nil {
		s.check.broken("the cable could not be set: %v", err)
		return
	}
	time.Sleep(d)
	c.Heal()
}

func (s *Soak) faultStore(d time.Duration, n int) {
	s.setFault([]string{rowsrv.Busy, rowsrv.Silent, rowsrv.AnswerLost}[n%3])
	time.Sleep(d)
	s.setFault("")
}

func (s *Soak) setFault(fault string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

func (s *Soak) crash(d time.Duration, _ int) {
	id := s.group.Primary()
	if id == "" {
		return
	}
	s.say("primary %s crashes", id)
	s.setSilent(id, true)
	s.group.Crash(id)
	time.Sleep(d)
	s.group.Start(id)
	s.setSilent(id, false)
}

func (s *Soak) setSilent(id string, silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent[id] = silent
}

func (s *Soak) deafen(d time.Duration, n int) {
	id := []string{"i-1", "i-2", "i-3"}[n%instances]
	s.group.BlockReplication(id, true)
	time.Sleep(d)
	s.group.BlockReplication(id, false)
}

func (s *Soak) loseAnswers(d time.Duration, n int) {
	id := []string{"i-1", "i-2", "i-3"}[n%instances]
	s.group.LoseAnswers(id, true)
	time.Sleep(d / 4)
	s.group.LoseAnswers(id, false)
}
