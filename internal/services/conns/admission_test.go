package conns_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/models/server"
	"wasabislip.example/wasabislip/internal/modules/uptime"
	"wasabislip.example/wasabislip/internal/services/conns"
	"wasabislip.example/wasabislip/internal/services/link"
	"wasabislip.example/wasabislip/internal/services/pconn"
	"wasabislip.example/wasabislip/internal/standin/simcon"
	"wasabislip.example/wasabislip/pkg/model/fault"
)

// slotInstance runs statements on its slots in the order in which they arrive.
type slotInstance struct {
	slots chan struct{}

	mu sync.Mutex
	// inFlight is how many statements run or wait here, most the most so far.
	inFlight, most int
}

func (s *slotInstance) Dial(context.Context, string) (link.Link, error) {
	return &simcon.Conn{}, nil
}

func (s *slotInstance) run(d time.Duration) {
	s.count(1)
	s.slots <- struct{}{}
	time.Sleep(d)
	<-s.slots
	s.count(-1)
}

func (s *slotInstance) count(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight += n
	s.most = max(s.most, s.inFlight)
}

// newPools returns an instance of three slots and the pools that share it.
func newPools(n int, admission bool) (*slotInstance, []*conns.Pool) {
	uptime.Restart()
	instance := &slotInstance{
		slots: make(chan struct{}, 3),
	}
	var pools []*conns.Pool
	for range n {
		p := conns.New(server.Server{
			ID:    "i-1",
			Slots: 3,
		}, instance)
		p.Resize(200, n)
		p.SetAdmission(admission)
		pools = append(pools, p)
	}
	return instance, pools
}

// class is callers of one priority. Outside of the burst, perSecond operations arrive.
type class struct {
	target    time.Duration
	timeout   time.Duration
	service   time.Duration
	perSecond float64
	burst     float64 // operations a second in the burst
}

// shares are what became of the operations of a class or a workspace.
type shares struct {
	sent, ran, inTarget, rejections int
	// busy is the time for which slots ran them.
	waited, busy time.Duration
}

func (s shares) served() float64 { return float64(s.inTarget) / float64(max(1, s.sent)) }

func (s shares) String() string {
	return fmt.Sprintf("in target %.3f, in all %.3f, of %d; %d rejections, mean wait %v, slots %.2f",
		s.served(), float64(s.ran)/float64(max(1, s.sent)), s.sent, s.rejections,
		(s.waited / time.Duration(max(1, s.sent))).Round(time.Millisecond), s.busy.Seconds()/(burstTo-burstFrom).Seconds())
}

// burstLoad is callers of three priorities at one instance of three slots. In the
// burst, from 10 to 40 s, some send more.
type burstLoad struct {
	pools     int
	classes   [3]class
	admission bool
	seed      uint64
	// exponential service times vary widely; others by a third.
	exponential bool
}

const (
	burstFrom = 10 * time.Second
	burstTo   = 40 * time.Second
	// workspaces is how many workspaces each class has.
	workspaces = 36
)

// play returns what became of the operations that were sent in the burst, by class and
// by workspace of each class.
func (l burstLoad) play() (classes [3]shares, byWorkspace [3][workspaces]shares) {
	instance, pools := newPools(l.pools, l.admission)
	var (
		running sync.WaitGroup
		mu      sync.Mutex
	)
	began := time.Now()
	for level, c := range l.classes {
		running.Go(func() {
			rng := rand.New(rand.NewPCG(l.seed, uint64(level)))
			for time.Since(began) < burstTo+burstFrom {
				inBurst := time.Since(began) >= burstFrom && time.Since(began) < burstTo
				perSecond := c.perSecond
				if inBurst {
					perSecond = c.burst
				}
				n := rng.IntN(workspaces)
				service := time.Duration(float64(c.service) * (2 + rng.Float64()*2) / 3)
				if l.exponential {
					service = time.Duration(float64(c.service) * rng.ExpFloat64())
				}
				running.Go(func() {
					r := c.call(pools[n%len(pools)], instance, level, fmt.Sprint("w-", n), service, l.admission)
					mu.Lock()
					defer mu.Unlock()
					if inBurst {
						classes[level].add(r)
						byWorkspace[level][n].add(r)
					}
				})
				time.Sleep(time.Duration(rng.ExpFloat64() * float64(time.Second) / perSecond))
			}
		})
	}
	running.Wait()
	return classes, byWorkspace
}

func (s *shares) add(r shares) {
	s.sent += r.sent
	s.inTarget += r.inTarget
	s.ran += r.ran
	s.busy += r.busy
	s.rejections += r.rejections
	s.waited += r.waited
}

// call is one operation of a caller, which comes back twice within its deadline. Its
// latency counts from the first time.
func (c class) call(p *conns.Pool, instance *slotInstance, level int, workspace string, service time.Duration, admission bool) shares {
	began := time.Now()
	r := shares{
		sent: 1,
	}
	for range 3 {
		if time.Since(began) > c.timeout {
			break
		}
		sent := time.Now()
		wait := c.target / 4 // the queue fraction of package tuning
		if admission {
			wait = c.target / 2
		}
		conn, err := p.Admit(context.Background(), &conns.Request{
			Workspace: workspace,
			Priority:  level,
			Wait:      wait,
			Level:     level,
			Objective: c.target,
			Deadline:  sent.Add(c.timeout),
		})
		r.waited += time.Since(sent)
		if err != nil {
			r.rejections++
			after := fault.As(err).RetryAfter
			if after == 0 {
				after = 50 * time.Millisecond // busyRetryAfter of package sess
			}
			time.Sleep(after)
			continue
		}
		instance.run(service)
		p.RecordSuccess(conn)
		p.Put(conn)
		r.ran = 1
		r.busy = service
		if time.Since(began) <= c.target {
			r.inTarget = 1
		}
		break
	}
	return r
}

// burstClasses are the classes of a day with bursts, with their operations a second in
// the burst. Three slots run 273 urgent, 120 middle or 55 of the least urgent
// statements a second.
func burstClasses(urgent, middle, least float64) [3]class {
	return [3]class{
		{
			target:    250 * time.Millisecond,
			timeout:   1200 * time.Millisecond,
			service:   11 * time.Millisecond,
			perSecond: 50,
			burst:     urgent,
		},
		{
			target:    600 * time.Millisecond,
			timeout:   5 * time.Second,
			service:   25 * time.Millisecond,
			perSecond: 15,
			burst:     middle,
		},
		{
			target:    1500 * time.Millisecond,
			timeout:   5 * time.Second,
			service:   55 * time.Millisecond,
			perSecond: 10,
			burst:     least,
		},
	}
}

// TestBurst plays bursts at about twice the capacity, of each class in turn.
func TestBurst(t *testing.T) {
	bursts := map[string][3]class{
		"least urgent": burstClasses(50, 15, 95),
		"middle":       burstClasses(50, 180, 30),
		"urgent":       burstClasses(500, 40, 30),
	}
	for name, classes := range bursts {
		for _, pools := range []int{1, 3, 16} {
			for seed := range uint64(2) {
				t.Run(fmt.Sprintf("%s, %d pools, seed %d", name, pools, seed), func(t *testing.T) {
					testBurst(t, burstLoad{
						pools:       pools,
						classes:     classes,
						seed:        seed,
						exponential: seed%2 == 1,
					}, name != "urgent")
				})
			}
		}
	}
}

// testBurst compares a burst with the same time without one. urgentFirst tells that the
// most urgent callers have to be served as without the burst.
func testBurst(t *testing.T, l burstLoad, urgentFirst bool) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		quiet := l
		quiet.classes = burstClasses(50, 15, 10)
		quiet.admission = true
		calm, _ := quiet.play()
		var before [3]shares // for comparison only
		if testing.Verbose() {
			before, _ = l.play()
		}
		l.admission = true
		with, byWorkspace := l.play()
		for n := range with {
			worst := 1.0
			for _, w := range byWorkspace[n] {
				worst = min(worst, w.served())
			}
			t.Logf("level %d: %s; worst workspace %.3f; calm %.3f; without admission: %s", n, with[n], worst, calm[n].served(), before[n])
		}
		if urgentFirst {
			is.True(with[0].served() >= calm[0].served()-0.02)
		}
		is.True(with[0].served() >= with[1].served()-0.02)
		is.True(with[1].served() >= with[2].served()-0.02)
		is.True(with[2].served() >= 0.1)
	})
}

// admit asks for a connection for a statement of a level.
func admit(ctx context.Context, p *conns.Pool, level int) (*pconn.Conn, error) {
	return p.Admit(ctx, &conns.Request{
		Workspace: "w",
		Level:     level,
		Wait:      200 * time.Millisecond,
		Objective: 400 * time.Millisecond,
		Deadline:  time.Now().Add(time.Second),
	})
}

// flood sends statements of 20 ms of a level to a pool, by many callers for 10 s, and
// returns how many ran.
func flood(instance *slotInstance, p *conns.Pool, level, callers int) int {
	var running sync.WaitGroup
	var ran atomic.Int64
	began := time.Now()
	for range callers {
		running.Go(func() {
			for time.Since(began) < 10*time.Second {
				c, err := admit(context.Background(), p, level)
				if err != nil {
					time.Sleep(fault.As(err).RetryAfter)
					continue
				}
				instance.run(20 * time.Millisecond)
				p.RecordSuccess(c)
				p.Put(c)
				ran.Add(1)
			}
		})
	}
	running.Wait()
	return int(ran.Load())
}

// TestShares checks what pools that share an instance use of it.
func TestShares(t *testing.T) {
	// Guards against slots that are free while statements wait for their priority:
	// the pool does not know that the others are idle.
	t.Run("one busy pool of three uses all slots", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			instance, pools := newPools(3, true)
			ran := flood(instance, pools[0], 2, 20)
			t.Logf("%d of 1500 ran", ran)
			is.True(ran >= 1350)
		})
	})
	// A workspace has two holders while hosts disagree on who is alive.
	t.Run("two holders of one workspace keep to their shares", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			instance, pools := newPools(2, true)
			var running sync.WaitGroup
			for _, p := range pools {
				running.Go(func() { flood(instance, p, 0, 30) })
			}
			running.Wait()
			is.True(instance.most <= 10) // three a slot, rounded up at each holder
		})
	})
}

// fill takes all places of a pool for less urgent statements.
func fill(is *is.I, p *conns.Pool) []*pconn.Conn {
	is.Helper()
	var inUse []*pconn.Conn
	for range 3 {
		c, err := admit(context.Background(), p, 2)
		is.NoErr(err)
		inUse = append(inUse, c)
	}
	return inUse
}

// admitLater asks for a connection in the background.
func admitLater(ctx context.Context, p *conns.Pool) <-chan error {
	done := make(chan error, 1)
	go func() {
		_, err := admit(ctx, p, 2)
		done <- err
	}()
	synctest.Wait()
	return done
}

// TestAdmissionEvents checks what becomes of a statement that waits.
func TestAdmissionEvents(t *testing.T) {
	run := func(name string, test func(is *is.I, p *conns.Pool, inUse []*pconn.Conn)) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				_, pools := newPools(1, true)
				test(is, pools[0], fill(is, pools[0]))
			})
		})
	}
	run("it runs when another one ends", func(is *is.I, p *conns.Pool, inUse []*pconn.Conn) {
		done := admitLater(context.Background(), p)
		p.Put(inUse[0])
		is.NoErr(<-done)
	})
	// The answer of a statement is lost: its place is free again.
	run("it runs when another one's connection is lost", func(is *is.I, p *conns.Pool, inUse []*pconn.Conn) {
		done := admitLater(context.Background(), p)
		p.Drop(inUse[0])
		is.NoErr(<-done)
	})
	run("it runs while a transaction is idle", func(is *is.I, p *conns.Pool, inUse []*pconn.Conn) {
		done := admitLater(context.Background(), p)
		p.PauseTransaction(inUse[0])
		is.NoErr(<-done)
		p.ResumeTransaction(inUse[0]) // never waits
	})
	run("it is rejected with a turn before its deadline", func(is *is.I, p *conns.Pool, _ []*pconn.Conn) {
		began := time.Now()
		err := <-admitLater(context.Background(), p)
		is.True(fault.IsKind(err, fault.Overloaded))
		is.True(fault.As(err).RetryAfter > 0)
		is.True(time.Since(began) <= 200*time.Millisecond)
		c, waiting := p.LevelCounts(2)
		is.Equal(waiting, 0)
		is.Equal(c.Rejected, int64(1))
	})
	run("it ends when its caller has gone", func(is *is.I, p *conns.Pool, inUse []*pconn.Conn) {
		ctx, cancel := context.WithCancel(context.Background())
		done := admitLater(ctx, p)
		cancel()
		is.True(<-done != nil)
		_, waiting := p.LevelCounts(2)
		is.Equal(waiting, 0)
		p.Put(inUse[0])
	})
	run("it still runs when admission is switched off", func(is *is.I, p *conns.Pool, inUse []*pconn.Conn) {
		done := admitLater(context.Background(), p)
		p.SetAdmission(false)
		p.Put(inUse[0])
		is.NoErr(<-done)
		_, err := p.Admit(context.Background(), &conns.Request{
			Workspace: "w",
		})
		is.NoErr(err) // by the number of connections, as without admission
	})
	run("it may open a connection when the pool is closed", func(is *is.I, p *conns.Pool, _ []*pconn.Conn) {
		done := admitLater(context.Background(), p)
		p.Close()
		is.NoErr(<-done)
		_, err := admit(context.Background(), p, 0)
		is.True(fault.IsKind(err, fault.NotRun))
	})
}

// comeBack plays a return after a loss of power: eight callers at each of five pools,
// at an instance that counts 37 of its 40 connections to former processes for 3 s. It
// returns how many connections were refused, and how many statements ran after 4 s.
func comeBack(admission bool, workspaces int) (refused, ran int) {
	uptime.Restart()
	instance := &limitedInstance{
		limit: 3,
	}
	var running sync.WaitGroup
	var late atomic.Int64
	began := time.Now()
	for n := range 5 {
		p := conns.New(server.Server{
			ID:    "i-1",
			Slots: 9,
		}, instance)
		p.Resize(40, 5)
		p.SetAdmission(admission)
		for caller := range 8 {
			running.Go(func() {
				for time.Since(began) < 8*time.Second {
					c, err := p.Admit(context.Background(), &conns.Request{
						Workspace: fmt.Sprint("w-", n, "-", caller%workspaces),
						Wait:      100 * time.Millisecond,
						Objective: 250 * time.Millisecond,
						Deadline:  time.Now().Add(time.Second),
					})
					if err != nil {
						time.Sleep(max(50*time.Millisecond, fault.As(err).RetryAfter))
						continue
					}
					time.Sleep(10 * time.Millisecond)
					p.RecordSuccess(c)
					p.Put(c)
					if time.Since(began) > 4*time.Second {
						late.Add(1)
					}
				}
			})
		}
	}
	time.Sleep(3 * time.Second)
	instance.mu.Lock()
	instance.limit = 40
	instance.mu.Unlock()
	running.Wait()
	return instance.refused, int(late.Load())
}

// TestReturn guards against storms of connections after a loss of power: 12,283 were
// refused on one day.
func TestReturn(t *testing.T) {
	t.Run("pools of one workspace", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			before, ranBefore := comeBack(false, 1)
			refused, ran := comeBack(true, 1)
			t.Logf("refused %d connections (before %d); ran from 4 to 8 s: %d (before %d)", refused, before, ran, ranBefore)
			// All 40 statements at once, then each of five pools four times a
			// second for 3 s.
			is.True(refused <= 40+5*4*3)
			is.True(ran >= ranBefore*9/10)
		})
	})
	// Statements also close a connection of another workspace to open their own,
	// and lose its place to other pools.
	t.Run("pools of eight workspaces", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			var refused, before, ran, ranBefore int
			for range 4 {
				n, m := comeBack(false, 8)
				before += n
				ranBefore += m
				n, m = comeBack(true, 8)
				refused += n
				ran += m
			}
			t.Logf("refused %d connections (before %d); ran from 4 to 8 s: %d (before %d)", refused, before, ran, ranBefore)
			is.True(4*refused <= 3*before)
			is.True(ran >= ranBefore*9/10)
		})
	})
}
