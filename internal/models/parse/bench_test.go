package parse_test

import (
	"fmt"
	"strings"
	"testing"

	"wasabislip.example/wasabislip/internal/models/parse"
)

// largeFile returns a file with 1,100 databases and 400 workspaces.
func largeFile() []byte {
	var b strings.Builder
	b.WriteString("data-centres:\n")
	for i := range 9 {
		fmt.Fprintf(&b, "- name: dc-%d\n  region: r\n", i)
	}
	b.WriteString("databases:\n")
	for i := range 1100 {
		fmt.Fprintf(&b, "- name: db-%d\n  service: ledger\n  instances:\n", i)
		for j := range 3 {
			fmt.Fprintf(&b, "  - name: i-%d\n    address: 10.%d.%d.%d:5432\n    data-centre: dc-%d\n    slots: 3\n    connections: 20\n", j, j, i/256, i%256, (i+j)%9)
		}
	}
	b.WriteString("routes:\n- {name: main, kind: write}\ndefault-route: main\nworkspaces:\n")
	for i := range 400 {
		fmt.Fprintf(&b, "- name: w-%d\n  rate: 10\n  burst: 10\n  databases: [db-%d]\n  keys: []\n", i, i)
	}
	return []byte(b.String())
}

func BenchmarkParse(b *testing.B) {
	body := largeFile()
	b.SetBytes(int64(len(body)))
	b.ReportAllocs()
	for b.Loop() {
		if file := parse.Parse("f", body); file.Spec == nil {
			b.Fatal(file.Problems[0])
		}
	}
}
