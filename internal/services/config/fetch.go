package config

import (
	"context"
	"strconv"
	"strings"

	"k8s.io/klog/v2"

	"wasabislip.example/wasabislip/internal/models/parse"
	"wasabislip.example/wasabislip/internal/modules/declog"
	"wasabislip.example/wasabislip/pkg/model/fault"
)

// fetchLoop fetches the newest version and puts it in force, whenever a fetch is
// requested.
func (m *Manager) fetchLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.fetchRequested:
		}
		for m.pending() && ctx.Err() == nil {
			if err := m.fetch(ctx); err != nil {
				klog.ErrorS(err, "configuration not fetched")
				sleep(ctx, fetchRetry)
			}
		}
	}
}

// pending reports whether the newest version is neither in force nor rejected.
func (m *Manager) pending() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Pending() && m.state.Newest != m.rejected
}

// fetch gets the body of the newest version and puts it in force.
func (m *Manager) fetch(ctx context.Context) error {
	m.mu.Lock()
	version := m.state.Newest
	hash := m.state.NewestHash
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	body, err := m.findBody(ctx, version, hash)
	if err != nil {
		return err
	}
	m.storeBody(version, hash, body)
	return m.install(version, hash, body)
}

// findBody returns the body of a hash: the one stored here, or one from another host
// or from the object store.
func (m *Manager) findBody(ctx context.Context, version uint64, hash string) ([]byte, error) {
	if _, has, body := m.NewestBody(); has == hash {
		return body, nil
	}
	if m.Hosts != nil {
		body, err := m.Hosts.Fetch(ctx, version)
		if err == nil && parse.Hash(body) == hash {
			return body, nil
		}
	}
	body, err := m.Objects.Get(ctx, hash)
	if err != nil {
		return nil, err
	}
	if parse.Hash(body) != hash {
		return nil, fault.New(
			fault.Platform,
			"the object store returned another body than "+hash,
			"apply the file again",
		)
	}
	return body, nil
}

// install checks body and puts it in force, unless a newer one already is. A body that
// this release can't use is rejected, and stays available to other hosts.
func (m *Manager) install(version uint64, hash string, body []byte) error {
	file := parse.Parse("version-"+strconv.FormatUint(version, 10), body)
	if file.Spec == nil {
		m.mu.Lock()
		m.rejected = version
		m.mu.Unlock()
		return fault.New(
			fault.BadRequest,
			"this host refuses the accepted file: "+strings.Join(file.Problems, "; "),
			"run the same release on every host",
		)
	}
	next := &snapshot{
		version: version,
		hash:    hash,
		body:    body,
		spec:    file.Spec,
		keys:    indexKeys(file.Spec),
	}
	m.mu.Lock()
	installed := m.state.Install(version, hash)
	if installed {
		m.current.Store(next)
		if m.changed != nil {
			close(m.changed)
			m.changed = nil
		}
	}
	m.mu.Unlock()
	if installed {
		declog.Decision{
			Decision: "configuration-in-force",
			Reason:   "version-" + strconv.FormatUint(version, 10),
		}.Log()
	}
	return nil
}
