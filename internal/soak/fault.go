package soak

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"

	"wasabislip.example/wasabislip/internal/standin/netem"
	"wasabislip.example/wasabislip/internal/standin/rowsrv"
)

const (
	// maxFaultPause is the longest pause between the starts of two faults. It is
	// shorter than most faults, so that they overlap.
	maxFaultPause = 1200 * time.Millisecond
	// minFaultDuration and maxFaultDuration bound how long a fault lasts.
	minFaultDuration = 300 * time.Millisecond
	maxFaultDuration = 4 * time.Second
)

// injectFaults injects random faults for the run's duration, and waits until the
// last one is over.
func (s *Soak) injectFaults(ctx context.Context) {
	// run injects the fault for d; n chooses the host, the instance or the variant.
	kinds := []struct {
		name string
		run  func(d time.Duration, n int)
	}{
		{name: "kill a host", run: s.killHost},
		{name: "stop a host", run: s.terminateHost},
		{name: "pause a host", run: s.pauseHost},
		{name: "send a host SIGHUP", run: s.hangUpHost},
		{name: "cut a host from the store", run: s.cutStore},
		{name: "cut an instance", run: s.cutInstance},
		{name: "delay an instance", run: s.delayInstance},
		{name: "fail the store", run: s.failStore},
		{name: "compact the store's history", run: func(time.Duration, int) { s.store.Compact() }},
		{name: "crash the primary", run: s.crashPrimary},
		{name: "block an instance's replication", run: s.blockReplication},
		{name: "lose an instance's answers", run: s.loseAnswers},
	}
	var running conc.WaitGroup
	defer running.Wait()
	running.Go(func() {
		s.restoreStore(ctx)
	})
	running.Go(func() {
		s.disturbAnswers(ctx)
	})
	for end := time.Now().Add(s.FaultDuration); time.Now().Before(end) && ctx.Err() == nil; {
		kind := kinds[s.rng.IntN(len(kinds))]
		d := minFaultDuration + time.Duration(s.rng.Int64N(int64(maxFaultDuration-minFaultDuration)))
		n := s.rng.IntN(1 << 16)
		s.logf("%s, %d, for %s", kind.name, n, d.Round(time.Millisecond))
		running.Go(func() {
			kind.run(d, n)
		})
		sleep(ctx, time.Duration(s.rng.Int64N(int64(maxFaultPause))))
	}
}

func (s *Soak) chooseHost(n int) *process {
	return s.hosts[n%len(s.hosts)]
}

func (s *Soak) killHost(d time.Duration, n int) {
	p := s.chooseHost(n)
	p.signal(syscall.SIGKILL, true)
	p.restart(d / 4)
}

func (s *Soak) terminateHost(d time.Duration, n int) {
	p := s.chooseHost(n)
	p.signal(syscall.SIGTERM, true)
	p.restart(d / 4)
}

func (s *Soak) pauseHost(d time.Duration, n int) {
	p := s.chooseHost(n)
	p.signal(syscall.SIGSTOP, false)
	time.Sleep(d)
	p.signal(syscall.SIGCONT, false)
}

func (s *Soak) hangUpHost(_ time.Duration, n int) {
	s.chooseHost(n).signal(syscall.SIGHUP, false)
}

// cutDirections are the directions in which a relay drops what it receives.
var cutDirections = []string{netem.CutBoth, netem.CutToTarget, netem.CutToClient}

func (s *Soak) cutStore(d time.Duration, n int) {
	s.impair(s.chooseHost(n).storeRelay, cutDirections[n%len(cutDirections)], 0, d)
}

func (s *Soak) cutInstance(d time.Duration, n int) {
	// The division keeps the direction independent of the chosen instance.
	s.impair(s.instanceRelays[n%len(s.instanceRelays)], cutDirections[n/7%len(cutDirections)], 0, d)
}

func (s *Soak) delayInstance(d time.Duration, n int) {
	s.impair(s.instanceRelays[n%len(s.instanceRelays)], netem.CutNone, time.Duration(n%150)*time.Millisecond, d)
}

// impair cuts or delays the relay for d.
func (s *Soak) impair(relay *netem.Relay, cut string, delay, d time.Duration) {
	if err := relay.Set(cut, delay); err != nil {
		s.checker.addProblem("setting a relay: %v", err)
		return
	}
	time.Sleep(d)
	relay.Heal()
}

func (s *Soak) failStore(d time.Duration, n int) {
	s.setStoreFault([]string{rowsrv.Busy, rowsrv.Silent, rowsrv.AnswerLost}[n%3])
	time.Sleep(d)
	s.setStoreFault("")
}

func (s *Soak) setStoreFault(fault string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeFault = fault
}

func (s *Soak) crashPrimary(d time.Duration, _ int) {
	id := s.group.Primary()
	if id == "" {
		return
	}
	s.logf("crash the primary %s", id)
	s.setHeartbeatStopped(id, true)
	s.group.Crash(id)
	time.Sleep(d)
	s.group.Start(id)
	s.setHeartbeatStopped(id, false)
}

func (s *Soak) setHeartbeatStopped(id string, stopped bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heartbeatStopped[id] = stopped
}

func (s *Soak) blockReplication(d time.Duration, n int) {
	id := []string{"i-1", "i-2", "i-3"}[n%instanceCount]
	s.group.BlockReplication(id, true)
	time.Sleep(d)
	s.group.BlockReplication(id, false)
}

func (s *Soak) loseAnswers(d time.Duration, n int) {
	id := []string{"i-1", "i-2", "i-3"}[n%instanceCount]
	s.group.LoseAnswers(id, true)
	time.Sleep(d / 4)
	s.group.LoseAnswers(id, false)
}

// maxRestores is how often the store is restored in a run at the most.
const maxRestores = 2

// restoreStore brings back older copies of the store at random moments. The operator
// writes the configuration again a little later. Its random numbers are its own, so
// that the other faults of a seed stay the same.
func (s *Soak) restoreStore(ctx context.Context) {
	rng := rand.New(rand.NewPCG(s.Seed, restoreStream))
	for range rng.IntN(maxRestores + 1) {
		sleep(ctx, time.Duration(rng.Int64N(int64(s.FaultDuration))))
		age := time.Duration(rng.Int64N(int64(maxFaultDuration)))
		s.logf("restore the store to a copy %s old", age.Round(time.Millisecond))
		s.store.Restore(age)
		sleep(ctx, time.Duration(rng.Int64N(int64(maxFaultPause))))
		s.store.Put("op", "config", configuration())
	}
}

const (
	// maxPeriods is how often one kind of disturbance of answers begins in a run at the
	// most.
	maxPeriods = 4
	// maxRepeatDelay is how late a repeated answer comes at the most.
	maxRepeatDelay = 400 * time.Millisecond
	// maxPiecePause is the longest pause between two pieces of an answer.
	maxPiecePause = 40 * time.Millisecond
)

// Streams of the random numbers of faults that have their own, so that the other faults
// of a seed stay the same.
const (
	restoreStream = iota + 2
	repeatStream
	refuseStream
	breakStream
	splitStream
)

// disturbAnswers makes instances repeat, refuse, break off and split a share of their
// answers, each for some periods of the run.
func (s *Soak) disturbAnswers(ctx context.Context) {
	var running conc.WaitGroup
	defer running.Wait()
	for _, kind := range []struct {
		name   string
		stream uint64
		// maxShare is the largest share of the answers.
		maxShare float64
		set      func(id string, share float64)
	}{
		{
			name:     "repeat",
			stream:   repeatStream,
			maxShare: 1,
			set: func(id string, share float64) {
				s.group.RepeatShare(id, share, maxRepeatDelay)
			},
		},
		{
			name:     "refuse",
			stream:   refuseStream,
			maxShare: 0.4,
			set:      s.group.RefuseShare,
		},
		{
			name:     "break off",
			stream:   breakStream,
			maxShare: 0.15,
			set:      s.group.BreakShare,
		},
		{
			name:     "split",
			stream:   splitStream,
			maxShare: 1,
			set: func(id string, share float64) {
				s.group.SplitShare(id, share, maxPiecePause)
			},
		},
	} {
		running.Go(func() {
			rng := rand.New(rand.NewPCG(s.Seed, kind.stream))
			for range rng.IntN(maxPeriods + 1) {
				sleep(ctx, time.Duration(rng.Int64N(int64(maxFaultPause))))
				id := []string{"i-1", "i-2", "i-3"}[rng.IntN(instanceCount)]
				d := minFaultDuration + time.Duration(rng.Int64N(int64(maxFaultDuration-minFaultDuration)))
				share := kind.maxShare * rng.Float64()
				s.logf("%s %.2f of the answers of %s, for %s", kind.name, share, id, d.Round(time.Millisecond))
				kind.set(id, share)
				sleep(ctx, d)
				kind.set(id, 0)
			}
		})
	}
}
