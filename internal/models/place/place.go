// Package place decides which hosts serve a database or a workspace. It uses
// rendezvous hashing over the live hosts: when a host joins or leaves, only the
// keys that it serves move.
package place

import (
	"cmp"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"wasabislip.example/wasabislip/pkg/model/host"
	"wasabislip.example/wasabislip/pkg/model/spec"
)

const (
	// maxCandidates is how many hosts are returned for one key.
	maxCandidates = 3
	// shardCount is the number of cache shards, each with its own lock.
	shardCount = 16
)

// Placer ranks the hosts for a key and caches the result. It is safe for
// concurrent use.
type Placer struct {
	mu    sync.RWMutex
	hosts []hashedHost
	// regions maps data centres to their regions.
	regions map[string]string
	shards  [shardCount]shard
}

// hashedHost is a host that can serve, with the hash of its name.
type hashedHost struct {
	name   string
	centre string
	hash   uint64
}

// shard caches the candidates for some of the keys, for the current hosts.
type shard struct {
	mu     sync.RWMutex
	cached map[cacheKey][]string
}

type cacheKey struct {
	key    string
	centre string
}

// score is a host's score for a key.
type score struct {
	name string
	// proximity grades how near the host is to the preferred data centre.
	proximity int
	// hash is the rendezvous hash of the host and the key.
	hash uint64
}

// Update sets the known hosts and the configuration in force. s is nil before
// there is a configuration. A change clears the cache.
func (p *Placer) Update(list []host.Host, s *spec.Spec) {
	drained := map[string]bool{}
	regions := map[string]string{}
	if s != nil {
		for _, name := range s.DrainedHosts {
			drained["host/"+name] = true
		}
		for _, dc := range s.DataCentres {
			drained["data-centre/"+dc.Name] = dc.Drained
			regions[dc.Name] = dc.Region
		}
	}
	var hosts []hashedHost
	for _, h := range list {
		if !h.AcceptsWork() || drained["host/"+h.Name] || drained["data-centre/"+h.DataCentre] {
			continue
		}
		hosts = append(hosts, hashedHost{
			name:   h.Name,
			centre: h.DataCentre,
			hash:   xxhash.Sum64String(h.Name),
		})
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if slices.Equal(p.hosts, hosts) && sameRegions(p.regions, regions) {
		return
	}
	p.hosts = hosts
	p.regions = regions
	for i := range p.shards {
		p.shards[i].mu.Lock()
		p.shards[i].cached = map[cacheKey][]string{}
		p.shards[i].mu.Unlock()
	}
}

func sameRegions(a, b map[string]string) bool {
	if len(a) != len(b) {
		return false
	}
	for name, region := range a {
		if b[name] != region {
			return false
		}
	}
	return true
}

// Candidates returns at most three hosts that may serve key, the preferred one
// first. Hosts in the data centre named centre come before others of its region,
// and those before the rest. centre may be empty. The caller must not change the
// list.
func (p *Placer) Candidates(key, centre string) []string {
	k := cacheKey{
		key:    key,
		centre: centre,
	}
	s := &p.shards[xxhash.Sum64String(key)%shardCount]
	p.mu.RLock()
	defer p.mu.RUnlock()
	s.mu.RLock()
	names, ok := s.cached[k]
	s.mu.RUnlock()
	if ok {
		return names
	}
	names = p.rank(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cached == nil {
		s.cached = map[cacheKey][]string{}
	}
	s.cached[k] = names
	return names
}

// rank computes the candidates for k; the caller holds mu.
func (p *Placer) rank(k cacheKey) []string {
	base := xxhash.Sum64String(k.key)
	best := make([]score, 0, maxCandidates+1)
	for _, h := range p.hosts {
		best = insert(best, score{
			name:      h.name,
			proximity: p.proximity(h.centre, k.centre),
			hash:      mix(base ^ h.hash),
		})
	}
	names := make([]string, 0, len(best))
	for _, s := range best {
		names = append(names, s.name)
	}
	return names
}

// insert adds s to best, which is sorted, and drops the lowest score if there
// are more than maxCandidates.
func insert(best []score, s score) []score {
	i := len(best)
	for i > 0 && s.before(best[i-1]) {
		i--
	}
	if i == maxCandidates {
		return best
	}
	best = slices.Insert(best, i, s)
	return best[:min(len(best), maxCandidates)]
}

// before reports whether s is preferred to other.
func (s score) before(other score) bool {
	return cmp.Or(
		cmp.Compare(other.proximity, s.proximity),
		cmp.Compare(other.hash, s.hash),
		cmp.Compare(s.name, other.name),
	) < 0
}

// proximity grades how near a host's data centre is to the preferred one: 2 in
// the same, 1 in the same region, 0 elsewhere or if none is preferred.
func (p *Placer) proximity(centre, preferred string) int {
	switch {
	case preferred == "":
		return 0
	case centre == preferred:
		return 2
	case p.regions[centre] != "" && p.regions[centre] == p.regions[preferred]:
		return 1
	default:
		return 0
	}
}

// mix spreads the bits of n (the finalizer of splitmix64).
func mix(n uint64) uint64 {
	n ^= n >> 30
	n *= 0xbf58476d1ce4e5b9
	n ^= n >> 27
	n *= 0x94d049bb133111eb
	return n ^ n>>31
}
