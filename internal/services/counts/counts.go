// Package counts sends the counts of this host's requests to the host that reports
// them to the platform, and to the one that takes over from it.
package counts

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"k8s.io/klog/v2"

	"wasabislip.example/wasabislip/internal/models/reply"
	"wasabislip.example/wasabislip/internal/models/task"
	"wasabislip.example/wasabislip/internal/models/tuple"
	"wasabislip.example/wasabislip/internal/models/usage"
	"wasabislip.example/wasabislip/internal/modules/count"
	"wasabislip.example/wasabislip/pkg/model/host"
)

const (
	// Duty is the name under which hosts are ranked for reporting.
	Duty = "usage"
	// tickInterval is how often the true time is set and a message may become due.
	tickInterval = 250 * time.Millisecond
	// minInterval is the time between two messages in a small fleet, and maxRate the
	// number of messages a second that the receiver gets in a large one.
	minInterval = 500 * time.Millisecond
	maxRate     = 200
	// maxBytes is the number of bytes a second of messages that the receiver gets while
	// the interval is below maxByteInterval: the control plane of a host has 25 KB/s.
	// Longer intervals would lose more of the counts of a killed host, and the last
	// ones of a window would come after its content is final.
	maxBytes        = 20_000
	maxByteInterval = 2500 * time.Millisecond
	// callTimeout bounds one message and its answer.
	callTimeout = time.Second
)

// clock tells the true time.
type clock interface {
	Now() (time.Time, bool)
}

// fleet knows the other hosts.
type fleet interface {
	Alive() []host.Host
	Lead(duty, except string) (host.Host, bool)
}

// directory has the row of the host that reports.
type directory interface {
	Usage() tuple.Tuple
}

// caller calls other hosts.
type caller interface {
	Call(ctx context.Context, to host.Host, t *task.Task) (reply.Reply, error)
}

// receiver takes counts at this host.
type receiver interface {
	Add(m *usage.Message) error
}

// Sender sends the counts. Its fields are set before Run.
type Sender struct {
	// Self is this host.
	Self host.Host
	// Params are the deployment's parameters.
	Params usage.Params
	// Counter has this host's counts.
	Counter *count.Counter
	// Clock tells the true time.
	Clock clock
	// Hosts are the other hosts.
	Hosts fleet
	// Directory has the row of the host that reports.
	Directory directory
	// Caller calls other hosts.
	Caller caller
	// Local takes the counts if this is the host that reports.
	Local receiver

	once sync.Once
	// busy holds an element while a message is being sent, which takes a call to
	// another host.
	busy chan struct{}
	// streams are to the holder and to the host that takes over from it, so that the
	// counts of a host that is killed are not lost if the holder is killed too, or is
	// that host.
	streams [2]stream
	// size is the size of the last message.
	size int
	// pause is the time between two messages now.
	pause atomic.Int64
	// leaving says that this host reports no more.
	leaving atomic.Bool
}

// stream is what one process was told.
type stream struct {
	// to is the process; this one if it has no name.
	to host.Host
	// told are the counts that it has acknowledged, by window and workspace, and
	// announced the newest window in its messages.
	told      map[uint64]map[string]uint64
	announced uint64
	failing   bool
}

// Interval returns the time between two messages of a host in a fleet of so many hosts,
// whose messages have a size in bytes.
func Interval(hosts, size int) time.Duration {
	bySize := time.Duration(hosts*size) * time.Second / maxBytes
	return max(minInterval, time.Duration(hosts)*time.Second/maxRate, min(bySize, maxByteInterval))
}

// Run sends counts until ctx ends.
func (s *Sender) Run(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	var last time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if now, ok := s.Clock.Now(); ok {
			s.Counter.SetTime(now)
		}
		if time.Since(last) < time.Duration(s.pause.Load())-tickInterval/2 {
			continue
		}
		last = time.Now()
		s.Send(ctx)
	}
}

// Leave makes another host the one that this host's counts are sent to.
func (s *Sender) Leave() {
	s.leaving.Store(true)
}

// interval returns the time between two messages.
func (s *Sender) interval() time.Duration {
	interval := Interval(len(s.Hosts.Alive())+1, s.size)
	if s.streams[0].failing {
		return min(interval, callTimeout)
	}
	return interval
}

// Send sends the counts that the host which reports, and the next one, do not have.
func (s *Sender) Send(ctx context.Context) {
	s.once.Do(func() {
		s.busy = make(chan struct{}, 1)
	})
	s.busy <- struct{}{}
	defer func() {
		s.pause.Store(int64(s.interval()))
		<-s.busy
	}()
	now, ok := s.Clock.Now()
	if !ok {
		return
	}
	record := s.record()
	current := s.Params.At(now)
	holder := s.findHolder(record)
	name := holder.Name
	if name == "" {
		name = s.Self.Name
	}
	next, _ := s.Hosts.Lead(Duty, name)
	s.streams[0].setTarget(holder)
	s.streams[1].setTarget(next)
	var calls conc.WaitGroup
	defer calls.Wait()
	for i := range s.streams {
		if i == 1 && s.sameTarget() {
			return
		}
		m := s.message(&s.streams[i], record.Final, current)
		if len(m.Windows) > 0 {
			s.size = m.Size()
			calls.Go(func() {
				s.deliver(ctx, &s.streams[i], m, current)
			})
		}
	}
}

// sameTarget reports whether both streams lead to one process: no other host is alive.
func (s *Sender) sameTarget() bool {
	return s.streams[0].to.Name == s.streams[1].to.Name
}

// record returns the record of the host that reports; an empty one if there is none.
func (s *Sender) record() usage.Record {
	row := s.Directory.Usage()
	if row.Version == 0 {
		return usage.Record{}
	}
	r, err := usage.DecodeRecord(row.Value)
	if err != nil {
		klog.ErrorS(err, "the record of the usage reports can't be decoded", "version", row.Version)
	}
	return r
}

// findHolder returns the holder, or the host that ranks first while none is alive; a
// host without a name stands for this one.
func (s *Sender) findHolder(r usage.Record) host.Host {
	if r.Holder == s.Self.Name && r.Incarnation == s.Self.Incarnation && !s.leaving.Load() {
		return host.Host{}
	}
	for _, h := range s.Hosts.Alive() {
		if h.Name == r.Holder && h.Incarnation == r.Incarnation && h.RunAddress != "" {
			return h
		}
	}
	h, _ := s.Hosts.Lead(Duty, "")
	return h
}

// setTarget sets the process that counts are sent to. Another one is told everything
// that is not known to be final.
func (s *stream) setTarget(to host.Host) {
	same := to.Name == s.to.Name && to.Incarnation == s.to.Incarnation
	s.to = to
	if s.told != nil && same {
		return
	}
	s.told = map[uint64]map[string]uint64{}
	s.announced = 0
}

// message returns the counts after the last final window that a process has not
// acknowledged. It names the current window once, also without counts, to tell that
// those of the windows before are complete.
func (s *Sender) message(to *stream, final, current uint64) *usage.Message {
	m := &usage.Message{
		From:        s.Self.Name,
		Incarnation: s.Self.Incarnation,
	}
	first := final + 1
	if current > usage.KeptWindows {
		first = max(first, current-usage.KeptWindows)
	}
	for window := first; window <= current; window++ {
		c := usage.Content{
			Window: window,
			Counts: map[string]uint64{},
		}
		for name, n := range s.Counter.Window(window, window < current) {
			if n > to.told[window][name] {
				c.Counts[name] = n
			}
		}
		if len(c.Counts) > 0 || window == current && window != to.announced {
			m.Windows = append(m.Windows, c)
		}
	}
	return m
}

// deliver sends a message to the process of a stream.
func (s *Sender) deliver(ctx context.Context, to *stream, m *usage.Message, current uint64) {
	var err error
	if to.to.Name == "" {
		err = s.Local.Add(m)
	} else {
		err = s.Forward(ctx, to.to, m)
	}
	if failing := err != nil; failing != to.failing {
		klog.InfoS("usage: counts of requests", "to", to.to.Name, "ok", !failing, "err", errorText(err))
		to.failing = failing
	}
	if err == nil {
		to.acknowledge(m, current)
	}
}

// Forward sends counts, of this host or another, to a host.
func (s *Sender) Forward(ctx context.Context, to host.Host, m *usage.Message) error {
	deadline := time.Now().Add(callTimeout)
	if end, ok := ctx.Deadline(); ok && end.Before(deadline) {
		deadline = end
	}
	_, err := s.Caller.Call(ctx, to, &task.Task{
		Kind:     task.Usage,
		Usage:    m,
		Deadline: deadline,
	})
	return err
}

// acknowledge records that the process has the counts of a message.
func (s *stream) acknowledge(m *usage.Message, current uint64) {
	for _, c := range m.Windows {
		s.announced = max(s.announced, c.Window)
		if s.told[c.Window] == nil {
			s.told[c.Window] = map[string]uint64{}
		}
		for name, n := range c.Counts {
			s.told[c.Window][name] = n
		}
	}
	for window := range s.told {
		if window+usage.KeptWindows < current {
			delete(s.told, window)
		}
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
