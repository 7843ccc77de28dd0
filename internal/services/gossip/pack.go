package gossip

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	wasabislipv1 "wasabislip.example/wasabislip/internal/gen/wasabislip/v1"
	"wasabislip.example/wasabislip/internal/modules/uptime"
)

const (
	// packMaxAge is how long a packed list of hosts is sent again: a hub of a large
	// fleet answers tens of hosts a second, and making the list takes most of the
	// time of an answer.
	packMaxAge = 50 * time.Millisecond
	// maxPackedBytes bounds an unpacked message: a host's report takes some 250
	// bytes, and a configuration up to a few hundred kilobytes.
	maxPackedBytes = 16 << 20
)

// packedList is the reports of the live hosts, packed at a time.
type packedList struct {
	mu     sync.Mutex
	at     time.Duration
	data   []byte
	packer packer
}

// packer encodes and compresses messages. It is not safe for concurrent use.
type packer struct {
	writer *gzip.Writer
}

// pack returns a message, compressed by gzip.
func (p *packer) pack(m proto.Message) ([]byte, error) {
	plain, err := proto.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode a message: %w", err)
	}
	var b bytes.Buffer
	if p.writer == nil {
		p.writer, err = gzip.NewWriterLevel(&b, gzip.BestSpeed)
		if err != nil {
			return nil, fmt.Errorf("compress a message: %w", err)
		}
	}
	p.writer.Reset(&b)
	if _, err := p.writer.Write(plain); err != nil {
		return nil, fmt.Errorf("compress a message: %w", err)
	}
	if err := p.writer.Close(); err != nil {
		return nil, fmt.Errorf("compress a message: %w", err)
	}
	return b.Bytes(), nil
}

// unpack decodes a message that was packed.
func unpack(data []byte, m proto.Message) error {
	r := readers.Get().(*gzip.Reader)
	defer readers.Put(r)
	if err := r.Reset(bytes.NewReader(data)); err != nil {
		return fmt.Errorf("decompress a message: %w", err)
	}
	plain, err := io.ReadAll(io.LimitReader(r, maxPackedBytes))
	if err != nil {
		return fmt.Errorf("decompress a message: %w", err)
	}
	if err := proto.Unmarshal(plain, m); err != nil {
		return fmt.Errorf("decode a message: %w", err)
	}
	return nil
}

// packedTables is the rows of tables, packed at a digest. Many hosts ask for the same
// rows when a fleet starts and when a configuration changes.
type packedTables struct {
	mu     sync.Mutex
	packer packer
	tables map[string]packedTable
}

type packedTable struct {
	digest uint64
	data   []byte
}

// get returns the packed rows of a table, if they were packed at that digest.
func (p *packedTables) get(name string, digest uint64) ([]byte, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t, ok := p.tables[name]
	return t.data, ok && t.digest == digest
}

// pack packs the rows of a table and keeps them for get.
func (p *packedTables) pack(name string, digest uint64, rows []*wasabislipv1.Row) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	data, err := p.packer.pack(&wasabislipv1.Table{
		Rows: rows,
	})
	if err != nil {
		return nil, err
	}
	if p.tables == nil {
		p.tables = map[string]packedTable{}
	}
	p.tables[name] = packedTable{
		digest: digest,
		data:   data,
	}
	return data, nil
}

// setHosts puts host reports into a message: only this host's own, or those of all
// live hosts, packed if the receiver accepts that.
func (g *Gossip) setHosts(k *wasabislipv1.Knowledge, all, packs bool) {
	if all && !packs {
		k.Hosts = g.liveReports()
		return
	}
	k.Hosts = g.ownReport()
	if !all {
		return
	}
	data, age, err := g.packHosts()
	if err != nil {
		klog.ErrorS(err, "the reports of hosts can't be packed")
		k.Hosts = g.liveReports()
		return
	}
	k.PackedHosts = data
	k.PackedAgeMs = uint64(age / time.Millisecond)
}

// packHosts returns the packed reports of the live hosts and their age.
func (g *Gossip) packHosts() (data []byte, age time.Duration, err error) {
	p := &g.packed
	p.mu.Lock()
	defer p.mu.Unlock()
	now := uptime.Now()
	if p.data != nil && now-p.at < packMaxAge {
		return p.data, now - p.at, nil
	}
	p.data, err = p.packer.pack(&wasabislipv1.Knowledge{
		Hosts: g.liveReports(),
	})
	p.at = now
	return p.data, 0, err
}

// mergePacked takes the packed reports of a message; since is as for mergeHosts.
func (g *Gossip) mergePacked(k *wasabislipv1.Knowledge, since time.Duration) {
	if len(k.GetPackedHosts()) == 0 {
		return
	}
	var packed wasabislipv1.Knowledge
	if err := unpack(k.GetPackedHosts(), &packed); err != nil {
		klog.InfoS("the reports of hosts from another host can't be read", "err", err.Error())
		return
	}
	g.mergeHosts(packed.GetHosts(), uptime.Before(since, k.GetPackedAgeMs()))
}

// readers are decompressors for reuse: each takes tens of kilobytes.
var readers = sync.Pool{
	New: func() any {
		return new(gzip.Reader)
	},
}
