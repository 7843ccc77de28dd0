package linedb

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// disturbance is what an instance does to its answers. Shares are between 0 and 1.
type disturbance struct {
	// repeatShare is the share of the answers that are sent once more, each after a
	// delay of its own of at most maxRepeatDelay.
	repeatShare    float64
	maxRepeatDelay time.Duration
	// refuseShare is the share of the statements that are refused as BUSY.
	refuseShare float64
	// breakShare is the share of the answers that are broken off before their end,
	// with the connection.
	breakShare float64
	// splitShare is the share of the answers that are sent in pieces, with a pause of
	// at most maxPause between two of them.
	splitShare float64
	maxPause   time.Duration
}

// RepeatShare makes an instance send a share of its answers once more, each after a
// random delay; 0 ends that.
func (g *Group) RepeatShare(id string, share float64, maxDelay time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	d := &g.instances[id].disturbance
	d.repeatShare = share
	d.maxRepeatDelay = maxDelay
}

// RefuseShare makes an instance answer a share of the reads, writes, commits and starts
// of transactions with BUSY; 0 ends that.
func (g *Group) RefuseShare(id string, share float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.instances[id].disturbance.refuseShare = share
}

// BreakShare makes an instance send only the beginning of a share of its answers, and
// close the connection; 0 ends that.
func (g *Group) BreakShare(id string, share float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.instances[id].disturbance.breakShare = share
}

// SplitShare makes an instance send a share of its answers in pieces with pauses, which
// may fall between any two bytes; 0 ends that.
func (g *Group) SplitShare(id string, share float64, maxPause time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	d := &g.instances[id].disturbance
	d.splitShare = share
	d.maxPause = maxPause
}

// chance reports true in a share of the calls. The caller holds mu.
func (inst *instance) chance(share float64) bool {
	return share > 0 && inst.rng.Float64() < share
}

// refusesBegin reports whether the instance refuses the start of a transaction.
func (inst *instance) refusesBegin() bool {
	inst.group.mu.Lock()
	defer inst.group.mu.Unlock()
	return inst.chance(inst.disturbance.refuseShare)
}

// nextTransaction returns the number of a new transaction.
func (g *Group) nextTransaction() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.transactions++
	return g.transactions
}

// delivery is how one answer is sent.
type delivery struct {
	// repeats are the delays after which the answer is sent once more.
	repeats []time.Duration
	// pieces are the parts that are sent, with pauses of this length between them.
	pieces []string
	pause  time.Duration
	// breaksOff tells that the connection is closed after the pieces.
	breaksOff bool
}

// maxPieces bounds the pieces of one answer.
const maxPieces = 6

// plan returns how an answer, which ends with CR LF, is sent.
func (inst *instance) plan(text string) delivery {
	g := inst.group
	g.mu.Lock()
	defer g.mu.Unlock()
	d := inst.disturbance
	p := delivery{
		pieces: []string{text},
	}
	if inst.chance(d.breakShare) {
		p.breaksOff = true
		p.pieces = []string{text[:inst.rng.IntN(len(text))]}
		return p
	}
	if inst.chance(d.splitShare) {
		p.pieces = split(text, inst.rng)
		p.pause = time.Duration(inst.rng.Int64N(int64(d.maxPause) + 1))
	}
	if inst.repeatAfter > 0 {
		p.repeats = append(p.repeats, inst.repeatAfter)
	}
	if inst.chance(d.repeatShare) {
		p.repeats = append(p.repeats, time.Duration(inst.rng.Int64N(int64(d.maxRepeatDelay)+1)))
	}
	return p
}

// split cuts a text at random places. Every other text is also cut between the CR and
// the LF of its first message.
func split(text string, rng *rand.Rand) []string {
	var cuts []int
	for range 1 + rng.IntN(maxPieces-2) {
		cuts = append(cuts, rng.IntN(len(text)))
	}
	if rng.IntN(2) == 0 {
		cuts = append(cuts, strings.Index(text, "\r\n")+1)
	}
	slices.Sort(cuts)
	var pieces []string
	start := 0
	for _, cut := range slices.Compact(cuts) {
		pieces = append(pieces, text[start:cut])
		start = cut
	}
	return append(pieces, text[start:])
}
