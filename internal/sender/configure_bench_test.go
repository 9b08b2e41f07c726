package sender

import (
	"encoding/json"
	"fmt"
	"testing"

	"flaxcove/internal/directory"
	"flaxcove/internal/sender/clusterapi"
)

// BenchmarkConfigure measures how long a change of settings blocks the loop, by the kind of change and by the number of
// destinations and pending messages.
func BenchmarkConfigure(b *testing.B) {
	changes := map[string][2][]string{
		"gain":     {{`"worth":3}`, `"worth":5}`}, {`"worth":3}`, `"worth":6}`}},
		"idle":     {{`"connIdle":10000000000`, `"connIdle":9000000000`}, {`"connIdle":10000000000`, `"connIdle":8000000000`}},
		"contract": {{`"aim":800000000`, `"aim":700000000`}, {`"aim":800000000`, `"aim":600000000`}},
	}
	for _, name := range []string{"gain", "idle", "contract"} {
		for _, destinations := range []int{610, 6_100, 61_000} {
			open := destinations * 100 / 61
			b.Run(fmt.Sprintf("%s/%dDestinations%dOpen", name, destinations, open), func(b *testing.B) {
				list := directory.List{Version: 1, Full: true}
				for i := range destinations {
					list.Entries = append(list.Entries, directory.Entry{ID: fmt.Sprint("endpoint", i), Addr: "127.0.0.1:1", Zone: "z", Kind: "one",
						Destination: float64(i), State: "up", Weight: 100})
				}
				settings := func(change []string) json.RawMessage {
					return settingsWith(b, append([]string{`"maxOpen":100`, `"maxOpen":1000000`}, change...)...)
				}
				h := startWith(loadedConfig(b, b.TempDir(), settings(nil), list))
				h.s.maxLinks = 0 // so that no call is sent
				for i := range open {
					m, err := h.s.parseMessage(splitArgs(fmt.Sprintf("OUT.ADD 0 id%d c=status,d=6000,dest=%d x", i, i%destinations)))
					if err != nil {
						b.Fatal(err)
					}
					h.s.admit(m)
					h.s.choice.Accept(m.Message)
				}
				b.ResetTimer()
				for i := range b.N {
					if err := h.s.configure(clusterapi.Configuration{Version: uint64(i + 1), Settings: settings(changes[name][i%2])}); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(b.Elapsed().Seconds()*1e3/float64(b.N), "ms/change")
			})
		}
	}
}
