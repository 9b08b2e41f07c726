package config

import (
	"fmt"
	"os"
	"strings"
)

// validConfig is a valid configuration file with two unknown fields named novel, which are ignored.
const validConfig = `{"name":"s","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","state":"state","seed":"8c1f30d27a5be964",
"limits":{"memory_mb":64,"sockets":128,"disk_mb":3},
"settings":{"classes":[{"name":"status","idempotency":"pure","deadline":6000000000,"worth":1}],"extra":{"callsOut":4},
"machineTypes":["one"],"zones":["z"],"novel":1},"novel":{}}`

// load loads a configuration file with the given text and prints the configuration or the error. The environment is
// given as name, value, name, value.
func load(text string, env ...string) {
	file, _ := os.CreateTemp("", "config")
	defer os.Remove(file.Name())
	file.WriteString(text)
	file.Close()
	c, err := Load(func(name string) string {
		for i := 0; i < len(env); i += 2 {
			if env[i] == name {
				return env[i+1]
			}
		}
		if name == "EDGE_CONFIG" {
			return file.Name()
		}
		return ""
	})
	if err != nil {
		fmt.Println(strings.ReplaceAll(err.Error(), file.Name(), "FILE"))
		return
	}
	fmt.Println(c.Name, c.Listen, c.Discovery, c.StateDir, c.Seed, c.Limits, c.Settings.InFlightLimit, c.ClassNumbers)
}

// The environment overrides the file. An error names the invalid field; no default replaces an invalid value.
func ExampleLoad() {
	load(validConfig)
	load(validConfig, "EDGE_NAME", "other", "EDGE_STATE", "/run/state")
	load(validConfig, "EDGE_CONFIG", "/nowhere")
	for _, change := range [][2]string{{`"name":"s",`, ``}, {`"127.0.0.1:1"`, `"here"`}, {`8c1f30d27a5be964`, `12 monkeys`},
		{`"sockets":128`, `"sockets":3`}, {`"memory_mb":64`, `"memory_mb":"much"`}, {`"disk_mb":3`, `"disk_mb":0`},
		{`"callsOut":4`, `"callsOut":0`}, {`"pure"`, `"magic"`}, {`"settings":`, `"setings":`}, {`"novel":1}`, ``}} {
		load(strings.Replace(validConfig, change[0], change[1], 1))
	}
	// Output:
	// s 127.0.0.1:1 127.0.0.1:2 state -8349901503567500956 {64 128 3} 4 map[status:0]
	// other 127.0.0.1:1 127.0.0.1:2 /run/state -8349901503567500956 {64 128 3} 4 map[status:0]
	// EDGE_CONFIG: open /nowhere: no such file or directory
	// FILE: field name: missing, and EDGE_NAME is not set
	// FILE: field listen: address here: missing port in address
	// FILE: field seed: "12 monkeys" is not a 64-bit hexadecimal number
	// FILE: field limits.sockets: 3 is below the minimum of 64
	// FILE: field limits.memory_mb: JSON string does not fit the field's type
	// FILE: field limits.disk_mb: 0 is not above 0
	// FILE: field settings: extra.callsOut: missing
	// FILE: field settings: classes[0].idempotency: unknown word "magic"
	// FILE: field settings: missing
	// FILE: invalid character ',' looking for beginning of object key string
}

// Gossip is enabled only if the settings allow it and the file has peer_listen and peers.
func ExampleConfig_EnableGossip() {
	const allowed = `"extra":{"callsOut":4},"bounds":{"peers":true}`
	peers := `{"peer_listen":"127.0.0.1:3","peers":["127.0.0.1:3","127.0.0.1:4"],"peers_all":"127.0.0.1:5",`
	whole := strings.Replace(strings.Replace(validConfig, `"extra":{"callsOut":4}`, allowed, 1), `{`, peers, 1)
	for _, text := range []string{whole, strings.Replace(whole, `"peers":true`, `"peers":false`, 1),
		strings.Replace(whole, `"peer_listen"`, `"peer_heard"`, 1), strings.Replace(whole, `"peers":[`, `"others":[`, 1)} {
		file, _ := os.CreateTemp("", "config")
		file.WriteString(text)
		file.Close()
		c, err := Load(func(name string) string { return map[string]string{"EDGE_CONFIG": file.Name()}[name] })
		os.Remove(file.Name())
		if err != nil {
			fmt.Println(err)
			continue
		}
		before := c.Settings.Notes
		fmt.Println(before, c.EnableGossip(), c.Settings.Notes, c.PeerListen, c.Peers, c.PeersAll)
	}
	// Output:
	// false <nil> true 127.0.0.1:3 [127.0.0.1:3 127.0.0.1:4] 127.0.0.1:5
	// false field settings: bounds.peers: gossip between senders is not allowed false 127.0.0.1:3 [127.0.0.1:3 127.0.0.1:4] 127.0.0.1:5
	// false field peer_listen: missing false  [127.0.0.1:3 127.0.0.1:4] 127.0.0.1:5
	// false field peers: missing false 127.0.0.1:3 [] 127.0.0.1:5
}
