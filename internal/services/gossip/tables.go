package gossip

import (
	"slices"
	"strings"
	"time"

	"k8s.io/klog/v2"

	wasabislipv1 "wasabislip.example/wasabislip/internal/gen/wasabislip/v1"
	"wasabislip.example/wasabislip/internal/models/tuple"
	"wasabislip.example/wasabislip/internal/modules/uptime"
	"wasabislip.example/wasabislip/internal/services/mirror"
)

// peerHasNewerTable reports whether another host has a newer copy of a table
// whose changes must not wait for the next exchange: any but the instances'.
func (g *Gossip) peerHasNewerTable(list []*wasabislipv1.Table) bool {
	for _, t := range list {
		if t.GetName() == mirror.Servers || !isKnownTable(t.GetName()) {
			continue
		}
		digest, version, _ := g.mirror.Digest(t.GetName())
		if t.GetVersion() > version && t.GetDigest() != digest {
			return true
		}
	}
	return false
}

func isKnownTable(name string) bool {
	return slices.Contains([]string{mirror.Operators, mirror.Servers, mirror.Fleet}, name)
}

// knowledge returns this host's state as a message to another host, with the questions
// or reports about services. theirs describes
// that host's copies of the tables; a table that is older there is sent with its
// rows. all says whether the reports of all live hosts are sent, packs whether that
// host accepts them packed.
func (g *Gossip) knowledge(to string, services []*wasabislipv1.ServiceReport, theirs []*wasabislipv1.Table, all, packs bool) *wasabislipv1.Knowledge {
	k := &wasabislipv1.Knowledge{
		Services:      services,
		AcceptsPacked: true,
	}
	g.setHosts(k, all, packs)
	for _, name := range []string{mirror.Operators, mirror.Servers, mirror.Fleet} {
		k.Tables = append(k.Tables, g.tableMessage(name, theirs, packs))
	}
	k.Tables = append(k.Tables, g.unrestored(to)...)
	return k
}

// unrestored returns the rows that the restored store lacks, for another host. The
// configuration is left out if that host has it.
func (g *Gossip) unrestored(to string) []*wasabislipv1.Table {
	var list []*wasabislipv1.Table
	for _, r := range g.mirror.Unrestored() {
		if r.Table == mirror.Operators && g.hasPolicy(to, g.mirror.Policy().Version) {
			continue
		}
		list = append(list, &wasabislipv1.Table{
			Name: unrestoredPrefix + r.Table,
			Rows: []*wasabislipv1.Row{{
				Key:     r.Key,
				Value:   r.Value,
				Version: r.Version,
			}},
		})
	}
	return list
}

// hasPolicy reports whether another host is known to have a configuration.
func (g *Gossip) hasPolicy(name string, version uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.hosts[name]
	return p != nil && p.report.GetDemandsVersion() >= version
}

// mergeUnrestored takes the rows that another host knows and the restored store
// lacks. They are ordered by themselves, so that it does not matter how old the
// message is.
func (g *Gossip) mergeUnrestored(list []*wasabislipv1.Table) {
	var rows []tuple.Tuple
	for _, t := range list {
		name, ok := strings.CutPrefix(t.GetName(), unrestoredPrefix)
		if !ok || !isKnownTable(name) {
			continue
		}
		for _, r := range t.GetRows() {
			rows = append(rows, tuple.Tuple{
				Table:   name,
				Key:     r.GetKey(),
				Value:   r.GetValue(),
				Version: r.GetVersion(),
			})
		}
	}
	g.mirror.MergeUnrestored(rows)
}

// tableMessage describes this host's copy of a table, with all rows if the other
// host's copy is older and different; packs says whether it accepts them packed.
func (g *Gossip) tableMessage(name string, theirs []*wasabislipv1.Table, packs bool) *wasabislipv1.Table {
	digest, version, asOf := g.mirror.Digest(name)
	t := &wasabislipv1.Table{
		Name:    name,
		Version: version,
		Digest:  digest,
		AgeMs:   uint64((uptime.Now()-asOf)/time.Millisecond) + 1,
	}
	for _, other := range theirs {
		if other.GetName() == name && other.GetVersion() < version && other.GetDigest() != digest {
			g.addRows(t, packs)
		}
	}
	return t
}

// addRows adds the rows of this host's copy to the message of a table. They are packed
// only if the copy has not changed since the message's digest was read.
func (g *Gossip) addRows(t *wasabislipv1.Table, packs bool) {
	t.Full = true
	if data, ok := g.packedTables.get(t.GetName(), t.GetDigest()); ok && packs {
		t.PackedRows = data
		return
	}
	copied, v, _ := g.mirror.Copy(t.GetName())
	t.Version = v
	t.Rows = toRows(copied)
	if now, _, _ := g.mirror.Digest(t.GetName()); !packs || now != t.GetDigest() {
		return
	}
	data, err := g.packedTables.pack(t.GetName(), t.GetDigest(), t.GetRows())
	if err != nil {
		klog.ErrorS(err, "a table can't be packed", "table", t.GetName())
		return
	}
	t.PackedRows = data
	t.Rows = nil
}

func toRows(list []tuple.Tuple) []*wasabislipv1.Row {
	rows := make([]*wasabislipv1.Row, 0, len(list))
	for _, r := range list {
		rows = append(rows, &wasabislipv1.Row{
			Key:     r.Key,
			Value:   r.Value,
			Version: r.Version,
		})
	}
	return rows
}

// rowsOf returns the rows of a table in a message.
func rowsOf(t *wasabislipv1.Table) ([]*wasabislipv1.Row, error) {
	if len(t.GetPackedRows()) == 0 {
		return t.GetRows(), nil
	}
	var packed wasabislipv1.Table
	err := unpack(t.GetPackedRows(), &packed)
	return packed.GetRows(), err
}

// mergeTables takes the tables of an answer to a request that was sent at asked.
func (g *Gossip) mergeTables(list []*wasabislipv1.Table, asked time.Duration) {
	for _, t := range list {
		if !isKnownTable(t.GetName()) || t.GetVersion() == 0 {
			continue
		}
		asOf := uptime.Before(asked, t.GetAgeMs())
		if !t.GetFull() {
			g.mirror.Confirm(t.GetName(), t.GetDigest(), t.GetVersion(), asOf)
			continue
		}
		list, err := rowsOf(t)
		if err != nil {
			klog.InfoS("a table from another host can't be read", "table", t.GetName(), "err", err.Error())
			continue
		}
		rows := make([]tuple.Tuple, 0, len(list))
		for _, r := range list {
			rows = append(rows, tuple.Tuple{
				Table:   t.GetName(),
				Key:     r.GetKey(),
				Value:   r.GetValue(),
				Version: r.GetVersion(),
			})
		}
		g.mirror.Replace(t.GetName(), rows, t.GetVersion(), asOf)
	}
}
