package conns

import (
	"time"

	"wasabislip.example/wasabislip/internal/models/reply"
	"wasabislip.example/wasabislip/internal/services/pconn"
)

// repeatMemory is how long after a repeated answer the instance counts as one that
// repeats answers.
const repeatMemory = 10 * time.Minute

// RecordMismatch records that the instance repeated an answer; see package pconn.
func (p *Pool) RecordMismatch(instance, request, reason string, r *reply.Reply) {
	p.mu.Lock()
	p.repeatedUntil = time.Now().Add(repeatMemory)
	p.mu.Unlock()
	if p.Observer != nil {
		p.Observer.RecordMismatch(instance, request, reason, r)
	}
}

// RepeatsAnswers reports whether the instance has repeated an answer within repeatMemory.
func (p *Pool) RepeatsAnswers() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Now().Before(p.repeatedUntil)
}

// isDoubtful reports whether an idle connection may still get the repetition of an answer
// that can't be told from others. The caller holds mu.
func (p *Pool) isDoubtful(c *pconn.Conn) bool {
	return time.Now().Before(p.repeatedUntil) && c.MayGetRepeatedAnswer()
}

// noteUnread records that an answer came on an idle connection, to which no statement
// waited for one. The caller holds mu.
func (p *Pool) noteUnread(c *pconn.Conn) {
	if !c.Link.HasUnread() {
		return
	}
	p.repeatedUntil = time.Now().Add(repeatMemory)
	if p.Observer != nil {
		p.Observer.RecordMismatch(c.Instance, "", "unread", &reply.Reply{})
	}
}
