package gossip

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	wasabislipv1 "wasabislip.example/wasabislip/internal/gen/wasabislip/v1"
	"wasabislip.example/wasabislip/internal/models/tuple"
	"wasabislip.example/wasabislip/internal/modules/uptime"
)

// A list of hosts takes tens of bytes a host, most of which say what the receiver knows.
// In a large fleet an answer holds beats instead: for each live host the age of its
// newest report and the version of the fleet table that it has applied. They refer to
// reports that the receiver has, by a hash of what else those say. An answer also holds
// the reports that have changed lately. A host that can't assign a beat asks for the list.
//
// Beats travel as a table of the message, of which hosts of earlier builds take no notice.

const (
	// beatsTable is the name of the messages' table with beats. In a request it says
	// that the answer may have beats, and its digest is that of the sender's live hosts.
	beatsTable = "beats"
	// fullInterval is the time after which a host asks for the list in any case.
	fullInterval = 10 * time.Second
	// beatChanges is how long a report that has changed is sent beside beats: several
	// exchanges.
	beatChanges = 1500 * time.Millisecond
	// ageUnit is the unit of a beat's age, which is one byte; maxAge stands for more.
	ageUnit = 16 * time.Millisecond
	maxAge  = 255
	// noVersion is the distance of a beat's version that says nothing: the version is
	// too far behind the newest one.
	noVersion = 1<<16 - 1
	// beatSize is the size of a beat, and markSize that of the hash before it if the
	// receiver's live hosts are not those of the sender.
	beatSize = 3
	markSize = 8
)

// markOf returns the hash of what a report says, but for its sequence, its age, its time
// of day and the version that the host has applied, of which it has the era.
func markOf(r *wasabislipv1.HostReport) uint64 {
	var d xxhash.Digest
	d.Reset()
	text := func(list ...string) {
		for _, s := range list {
			number(&d, uint64(len(s)))
			_, _ = d.WriteString(s) // never fails
		}
	}
	text(r.GetName(), r.GetAddress(), r.GetRunAddress(), r.GetDataCentre())
	stopping := uint64(0)
	if r.GetStopping() {
		stopping = 1
	}
	applied := uint64(0)
	if r.GetSeen() > 0 {
		applied = tuple.Era(r.GetSeen()) + 1
	}
	for _, n := range []uint64{r.GetIncarnation(), stopping, applied, r.GetDemandsVersion()} {
		number(&d, n)
	}
	number(&d, uint64(len(r.GetUnreachable())))
	text(r.GetUnreachable()...)
	number(&d, uint64(len(r.GetUnfinished())))
	text(r.GetUnfinished()...)
	_, _ = d.Write(r.GetDemands())
	return d.Sum64()
}

// setMark sets the mark of a host's new report. The caller holds the lock.
func (g *Gossip) setMark(p *peer, now time.Duration) {
	mark := markOf(p.report)
	if mark == p.mark {
		return
	}
	g.dropMark(p)
	p.mark = mark
	p.changed = now
	g.marks[mark] = p
}

// dropMark forgets the mark of a host's report. The caller holds the lock.
func (g *Gossip) dropMark(p *peer) {
	if g.marks[p.mark] == p {
		delete(g.marks, p.mark)
	}
}

func number(d *xxhash.Digest, n uint64) {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], n)
	_, _ = d.Write(b[:]) // never fails
}

// liveMarks returns the marks of the reports of the live hosts and of this one, in
// ascending order, and their digest.
func (g *Gossip) liveMarks(own uint64) (marks []uint64, digest uint64) {
	now := uptime.Now()
	marks = append(marks, own)
	g.mu.Lock()
	for _, p := range g.hosts {
		if now-p.lastHeard < aliveTimeout {
			marks = append(marks, p.mark)
		}
	}
	g.mu.Unlock()
	slices.Sort(marks)
	return marks, digestMarks(marks)
}

func digestMarks(marks []uint64) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, m := range marks {
		number(&d, m)
	}
	return d.Sum64()
}

// askForBeats makes a request ask for beats, unless this host needs the list of hosts. It
// returns the marks that the beats of the answer refer to; nil if it does not ask.
func (g *Gossip) askForBeats(k *wasabislipv1.Knowledge) []uint64 {
	if !g.isLarge() || g.hasJustStarted() || g.needsList() {
		return nil
	}
	marks, digest := g.liveMarks(markOf(k.GetHosts()[0]))
	k.Tables = append(k.Tables, &wasabislipv1.Table{
		Name:   beatsTable,
		Digest: digest,
	})
	return marks
}

func (g *Gossip) needsList() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.listNeeded || uptime.Now()-g.lastList >= fullInterval
}

// noteList notes that an answer held the list of hosts.
func (g *Gossip) noteList() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.listNeeded = false
	g.lastList = uptime.Now()
	g.lists++
}

// CountLists returns how many lists of hosts this host has got since its start.
func (g *Gossip) CountLists() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lists
}

// findBeats returns the table with beats, or that asks for them; nil without one.
func findBeats(list []*wasabislipv1.Table) *wasabislipv1.Table {
	i := slices.IndexFunc(list, func(t *wasabislipv1.Table) bool {
		return t.GetName() == beatsTable
	})
	if i < 0 {
		return nil
	}
	return list[i]
}

// beat is what an answer says of one live host.
type beat struct {
	mark  uint64
	heard time.Duration
	seen  uint64
}

// addBeats adds beats to an answer, which holds this host's own report, to a request that
// asks for them. It returns false if the list of hosts is shorter, since many reports
// have changed lately.
func (g *Gossip) addBeats(k *wasabislipv1.Knowledge, asked *wasabislipv1.Table) bool {
	now := uptime.Now()
	own := k.GetHosts()[0]
	live := g.listBeats(now)
	if 4*len(live.changed) > len(live.list) {
		return false
	}
	newest := max(live.newest, own.GetSeen())
	self := beat{
		mark:  markOf(own),
		heard: now,
		seen:  own.GetSeen(),
	}
	i, _ := slices.BinarySearchFunc(live.list, self, compareBeats)
	list := slices.Insert(slices.Clone(live.list), i, self)
	marks := make([]uint64, 0, len(list))
	for _, b := range list {
		marks = append(marks, b.mark)
	}
	full := digestMarks(marks) != asked.GetDigest()
	var data []byte
	for _, b := range list {
		if full {
			data = binary.LittleEndian.AppendUint64(data, b.mark)
		}
		data = b.append(data, now, newest)
	}
	k.Hosts = append(k.Hosts, live.changed...)
	k.Tables = append(k.Tables, &wasabislipv1.Table{
		Name:       beatsTable,
		Version:    newest,
		Full:       full,
		PackedRows: data,
	})
	return true
}

// liveBeats is the beats of the other live hosts in the order of their marks, made at a
// time, the newest version among them, and the reports that changed lately. It is
// immutable: a hub answers tens of hosts a second.
type liveBeats struct {
	at      time.Duration
	list    []beat
	newest  uint64
	changed []*wasabislipv1.HostReport
}

// listBeats returns the beats of the other live hosts as of at most packMaxAge ago.
func (g *Gossip) listBeats(now time.Duration) *liveBeats {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.beats != nil && now-g.beats.at < packMaxAge {
		return g.beats
	}
	live := &liveBeats{
		at: now,
	}
	for _, p := range g.hosts {
		if now-p.lastHeard >= aliveTimeout {
			continue
		}
		live.list = append(live.list, beat{
			mark:  p.mark,
			heard: p.lastHeard,
			seen:  p.report.GetSeen(),
		})
		live.newest = max(live.newest, p.report.GetSeen())
		if now-p.changed < beatChanges {
			r := g.passOn(p, now)
			r.AgeMs += uint64(packMaxAge / time.Millisecond) // sent so much later at most
			live.changed = append(live.changed, r)
		}
	}
	slices.SortFunc(live.list, compareBeats)
	g.beats = live
	return live
}

func compareBeats(a, b beat) int {
	return cmp.Compare(a.mark, b.mark)
}

// append encodes a beat without its mark.
func (b beat) append(data []byte, now time.Duration, newest uint64) []byte {
	age := min((now-b.heard+ageUnit-1)/ageUnit, maxAge)
	behind := uint64(noVersion)
	if b.seen > 0 {
		behind = min(newest-b.seen, noVersion)
	}
	data = append(data, byte(age))
	return binary.LittleEndian.AppendUint16(data, uint16(behind))
}

// mergeBeats takes the beats of an answer to a request that was sent at asked with these
// marks; the first one that it can't assign makes this host ask for the list.
func (g *Gossip) mergeBeats(t *wasabislipv1.Table, marks []uint64, own uint64, asked time.Duration) {
	size := beatSize
	if t.GetFull() {
		size += markSize
	}
	data := t.GetPackedRows()
	n := len(data) / size
	if len(data)%size != 0 || !t.GetFull() && n != len(marks) {
		klog.InfoS("the beats from another host can't be read; the list of hosts is asked for", "bytes", len(data), "hosts", len(marks))
		n = 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.listNeeded = n == 0
	for i := range n {
		row := data[i*size : (i+1)*size]
		var mark uint64
		if t.GetFull() {
			mark = binary.LittleEndian.Uint64(row)
			row = row[markSize:]
		} else {
			mark = marks[i]
		}
		if mark == own {
			continue
		}
		p := g.marks[mark]
		if p == nil {
			g.listNeeded = true
			continue
		}
		p.take(row, t.GetVersion(), asked)
	}
	g.updateLiveness(uptime.Now())
}

// take takes a beat without its mark from an answer to a request that was sent at asked.
func (p *peer) take(row []byte, newest uint64, asked time.Duration) {
	if row[0] == maxAge {
		return
	}
	heard := uptime.Before(asked, uint64(row[0])*uint64(ageUnit/time.Millisecond))
	if heard <= p.lastHeard {
		return
	}
	p.advance(heard)
	behind := uint64(binary.LittleEndian.Uint16(row[1:]))
	// The mark holds the era, so that a version of another one is malformed.
	if behind != noVersion && behind <= newest && tuple.Era(newest-behind) == tuple.Era(p.report.GetSeen()) {
		p.report.Seen = newest - behind
	}
}

// advance notes that the host made a report at heard that says the same as the newest
// one that is known, but for the time of day.
func (p *peer) advance(heard time.Duration) {
	if p.report.GetWallMs() > 0 {
		p.report.WallMs += uint64((heard - p.lastHeard) / time.Millisecond)
	}
	p.lastHeard = heard
}
