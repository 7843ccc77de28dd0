package quota

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/sourcegraph/conc"
	"k8s.io/klog/v2"

	wasabislipv1 "wasabislip.example/wasabislip/internal/gen/wasabislip/v1"
	"wasabislip.example/wasabislip/internal/models/record"
	"wasabislip.example/wasabislip/internal/models/vouch"
	"wasabislip.example/wasabislip/internal/modules/declog"
)

const (
	// promiseWindow is how long the promise of a witness counts. A lost host's
	// lease is ended soon after; a host that is paused for longer loses its lease.
	promiseWindow = 4 * time.Second
	// promiseInterval is the time between two requests for a promise.
	promiseInterval = time.Second
	// witnessCount is the number of witnesses of a lease. With fewer, a lease
	// ends only when it has run out.
	witnessCount = 2
	// witnessKey names, with a host, the ranking of hosts from which the host
	// takes its witnesses.
	witnessKey = "witnesses-of/"
)

// The calls between a lease's host and its witnesses are draws without a workspace:
//
//   - From is the lease's incarnation, and Sequence a version of its row.
//   - Released asks the receiver to agree to the end of the lease at that version;
//     else the sender is the lease's host, and asks for a promise.
//   - Granted is 1 if the receiver promises or agrees.
//   - Home is the receiver's process: another one must not answer in its place.

// isWitnessCall reports whether a draw is a call to a witness.
func isWitnessCall(m *wasabislipv1.DrawRequest) bool {
	return m.GetWorkspace() == ""
}

// answerAsWitness promises to a lease's host that its lease is not ended, or agrees
// with the other witness that it is.
//
// A host that is not believed to be alive gets no promise: it may still send calls
// while none reach it.
func (q *Quota) answerAsWitness(m *wasabislipv1.DrawRequest) *wasabislipv1.DrawResponse {
	alive := q.homes.Alive(hostOf(m.GetFrom()))
	q.witnessMu.Lock()
	defer q.witnessMu.Unlock()
	w := q.witnessed[m.GetFrom()]
	if w == nil {
		w = vouch.New(promiseWindow)
		q.witnessed[m.GetFrom()] = w
	}
	ok := false
	switch {
	case m.GetReleased():
		ok = w.Refuse(time.Now(), m.GetSequence())
	case alive:
		ok = w.Promise(time.Now(), m.GetSequence())
	}
	resp := &wasabislipv1.DrawResponse{
		Home: q.processID,
	}
	if ok {
		resp.Granted = 1
	}
	return resp
}

// callWitness sends a call about the lease of that incarnation to host. It returns the
// process that answered, and whether that promised or agreed.
func (q *Quota) callWitness(ctx context.Context, host, incarnation string, version uint64, end bool) (process string, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, drawTimeout)
	defer cancel()
	resp, err := q.peers.Draw(ctx, host, &wasabislipv1.DrawRequest{
		From:     incarnation,
		Sequence: version,
		Released: end,
	})
	if err != nil {
		return "", false
	}
	return resp.GetHome(), resp.GetGranted() > 0
}

// promiseLoop asks for promises that this host's lease is not ended, until ctx ends.
func (q *Quota) promiseLoop(ctx context.Context) {
	lastRenewal := time.Now()
	for {
		q.requestPromises(ctx)
		if now := time.Now(); now.Sub(lastRenewal) >= renewRetry && q.needsRenewal(now) {
			lastRenewal = now
			if err := q.renew(ctx); err != nil {
				klog.V(1).InfoS("lease not renewed", "host", q.self, "err", err)
			}
		}
		if !sleep(ctx, promiseInterval) {
			return
		}
	}
}

// requestPromises asks the witnesses that the row names, and those that it should
// name, for a promise.
func (q *Quota) requestPromises(ctx context.Context) {
	incarnation := q.incarnation()
	if incarnation == "" {
		return
	}
	version := q.version()
	var wg conc.WaitGroup
	for _, host := range q.witnessHosts() {
		wg.Go(func() {
			sent := time.Now()
			process, ok := q.callWitness(ctx, host, incarnation, version, false)
			if !ok || hostOf(process) != host {
				return
			}
			q.leaseMu.Lock()
			defer q.leaseMu.Unlock()
			if q.lease.Incarnation() == incarnation {
				q.holder.RecordPromise(process, sent)
				q.processes[host] = process
			}
		})
	}
	wg.Wait()
}

// witnessHosts returns the hosts to ask for promises.
func (q *Quota) witnessHosts() []string {
	hosts := q.preferredWitnesses()
	q.leaseMu.RLock()
	defer q.leaseMu.RUnlock()
	for _, process := range q.holder.Witnesses() {
		if host := hostOf(process); !slices.Contains(hosts, host) {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// preferredWitnesses returns the first live hosts, without this one, of the ranking
// for this host.
func (q *Quota) preferredWitnesses() []string {
	var hosts []string
	for _, host := range q.homes.Candidates(witnessKey + q.self) {
		if host != q.self && len(hosts) < witnessCount && q.homes.Alive(host) {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// chooseWitnesses returns the witnesses for the next write of the lease's row: the
// present ones if all promise, else the preferred ones if all promise, else none.
func (q *Quota) chooseWitnesses(now time.Time) []string {
	preferred := q.preferredWitnesses()
	q.leaseMu.RLock()
	defer q.leaseMu.RUnlock()
	if present := q.holder.Witnesses(); q.allPromise(present, now) {
		return present
	}
	var set []string
	for _, host := range preferred {
		set = append(set, q.processes[host])
	}
	if q.allPromise(set, now) {
		return set
	}
	return nil
}

// allPromise reports whether set is complete and all its processes have promised of
// late. The caller holds leaseMu.
func (q *Quota) allPromise(set []string, now time.Time) bool {
	return len(set) == witnessCount && !slices.ContainsFunc(set, func(process string) bool { return !q.holder.Promised(process, now) })
}

// needsRenewal reports whether the lease's row should be written before the next
// regular renewal: to take a lease, to keep it usable, or to name other witnesses.
func (q *Quota) needsRenewal(now time.Time) bool {
	if q.incarnation() == "" {
		return true
	}
	chosen := q.chooseWitnesses(now)
	q.leaseMu.RLock()
	defer q.leaseMu.RUnlock()
	return !q.holder.Valid(now.Add(promiseWindow/2)) || !slices.Equal(chosen, q.holder.Witnesses())
}

// witnessLoop ends the leases of lost hosts that this one is a witness of, until ctx
// ends.
func (q *Quota) witnessLoop(ctx context.Context) {
	for sleep(ctx, promiseInterval) {
		for _, incarnation := range q.silentLeases() {
			q.endSilentLease(ctx, incarnation)
		}
	}
}

// silentLeases returns the incarnations of the leases for which no promise of this
// process counts any more.
func (q *Quota) silentLeases() []string {
	q.witnessMu.Lock()
	defer q.witnessMu.Unlock()
	now := time.Now()
	var list []string
	for incarnation, w := range q.witnessed {
		switch ended := w.EndedFor(now); {
		case ended > leaseDuration+leaseDuration/50:
			// The lease has run out: its host asks for no promise any more.
			delete(q.witnessed, incarnation)
		case ended == 0 && w.Silent(now):
			list = append(list, incarnation)
		}
	}
	return list
}

// endSilentLease marks a lease as ended if the row names this process as a witness, no
// write of the row counts any more, and the other witness agrees.
func (q *Quota) endSilentLease(ctx context.Context, incarnation string) {
	ctx, cancel := context.WithTimeout(ctx, 2*tableTimeout)
	defer cancel()
	host := hostOf(incarnation)
	sent := time.Now()
	rec, err := q.table.Get(ctx, leaseClass, host)
	if err != nil {
		return
	}
	var l leaseRow
	if err := decode(rec, &l); err != nil {
		return
	}
	other, due := q.isEndDue(incarnation, sent, rec, l)
	if !due {
		return
	}
	if process, ok := q.callWitness(ctx, hostOf(other), incarnation, rec.Version, true); !ok || process != other {
		return
	}
	l.Ended = true
	err = q.put(ctx, leaseClass, host, l, rec.Version)
	result := "silent-home"
	if err != nil {
		result = "failed"
	}
	declog.Decision{
		Decision: "end-lease",
		Reason:   result,
		Host:     host,
	}.LogAlways()
	if err == nil {
		q.claimLost(host)
	}
}

// isEndDue reports whether this process may end a lease whose row it has read, and
// returns the other witness, which must agree. From then on it gives no promise until
// the row is written again. A lease that it is no witness of is forgotten.
func (q *Quota) isEndDue(incarnation string, sent time.Time, rec record.Record, l leaseRow) (other string, due bool) {
	q.witnessMu.Lock()
	defer q.witnessMu.Unlock()
	w := q.witnessed[incarnation]
	if w == nil {
		return "", false
	}
	now := time.Now()
	i := slices.Index(l.Witnesses, q.processID)
	switch {
	case l.Incarnation != incarnation || l.Ended:
		w.RecordEnd(now)
		return "", false
	case i < 0 || len(l.Witnesses) != witnessCount:
		if w.Forgettable(now, rec.Version) {
			delete(q.witnessed, incarnation)
		}
		return "", false
	}
	return l.Witnesses[1-i], w.Observe(sent, now, rec.Version) && w.Refuse(now, rec.Version)
}

// claimLost lets this host claim the parts whose home was host, and starts a round of
// claims.
func (q *Quota) claimLost(host string) {
	for i := range q.shards {
		s := &q.shards[i]
		s.mu.Lock()
		for _, e := range s.entries {
			for k := range e.parts {
				if e.parts[k].owner == host {
					e.parts[k].claimAt = time.Time{}
				}
			}
		}
		s.mu.Unlock()
	}
	q.startRound()
}

// hostOf returns the host of a process or of an incarnation: what precedes the first
// of the UUIDs.
func hostOf(id string) string {
	host, _, _ := strings.Cut(id, idSeparator)
	return host
}

// sleep waits for d; it returns false if ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	pause(ctx, nil, d)
	return ctx.Err() == nil
}
