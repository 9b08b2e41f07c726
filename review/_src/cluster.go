package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// clusterAddrs are the addresses of one process of a cluster.
type clusterAddrs struct{ gossip, council, http string }

// clusterZones are the zones of a cluster and their regions, as in the cluster guide.
var clusterZones = []string{"z0", "z1", "z2"}

// writeClusterFiles writes the cluster file of each process, as docs/cluster.md shows it, and returns the paths and the
// addresses of the HTTP interfaces.
func writeClusterFiles(tmp string, names []string, configuration bool) (files, https []string, err error) {
	addrs := make([]clusterAddrs, len(names))
	for i := range addrs {
		for _, to := range []*string{&addrs[i].gossip, &addrs[i].council, &addrs[i].http} {
			if *to, err = freePort(); err != nil {
				return nil, nil, err
			}
		}
		https = append(https, addrs[i].http)
	}
	for i, name := range names {
		quoted := make([]string, len(names))
		for j, n := range names {
			quoted[j] = fmt.Sprintf("%q", n)
		}
		text := fmt.Sprintf("name = \"review\"\nfounders = [%s]\n[here]\nprocess = %q\nzone = %q\nfolder = %q\n", strings.Join(quoted, ", "),
			name, clusterZones[i], filepath.Join(tmp, name, "cluster"))
		text += fmt.Sprintf("gossip = %q\ncouncil = %q\nhttp = %q\n", addrs[i].gossip, addrs[i].council, addrs[i].http)
		text += "[zones]\nz0 = \"north\"\nz1 = \"north\"\nz2 = \"south\"\n[uses]\nfailover = true\npurges = true\n"
		text += fmt.Sprintf("configuration = %v\n", configuration)
		for j, other := range names {
			if j != i {
				text += fmt.Sprintf("[[member]]\nname = %q\nzone = %q\ngossip = %q\ncouncil = %q\nhttp = %q\n", other, clusterZones[j],
					addrs[j].gossip, addrs[j].council, addrs[j].http)
			}
		}
		path := filepath.Join(tmp, name+".toml")
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			return nil, nil, err
		}
		files = append(files, path)
	}
	return files, https, nil
}

// httpJSON makes a call to the HTTP interface of a process and decodes the answer.
func httpJSON(method, url string, body any, most time.Duration) (status int, answer map[string]any, err error) {
	var in io.Reader
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			return 0, nil, err
		}
		in = bytes.NewReader(text)
	}
	request, err := http.NewRequest(method, url, in)
	if err != nil {
		return 0, nil, err
	}
	c := http.Client{Timeout: most}
	r, err := c.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer r.Body.Close()
	text, err := io.ReadAll(r.Body)
	if err != nil {
		return r.StatusCode, nil, err
	}
	_ = json.Unmarshal(text, &answer)
	return r.StatusCode, answer, nil
}

// leaderAt returns the leader that a process names, or "".
func leaderAt(addr string) string {
	_, answer, err := httpJSON("GET", "http://"+addr+"/v1/cluster", nil, time.Second)
	if err != nil {
		return ""
	}
	name, _ := answer["leader"].(string)
	return name
}

// waitLeader waits until a process names a leader.
func waitLeader(rec *record, addr string, most time.Duration) (string, error) {
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if name := leaderAt(addr); name != "" {
			rec.line("cluster: the leader is %s", name)
			return name, nil
		}
	}
	return "", fmt.Errorf("no leader in time")
}

// waitOtherLeader waits until a process names a leader that isn't the one before.
func waitOtherLeader(rec *record, addr, before string, most time.Duration) (string, error) {
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if name := leaderAt(addr); name != "" && name != before {
			rec.line("cluster: the leader is %s", name)
			return name, nil
		}
	}
	return "", fmt.Errorf("no other leader in time")
}

// purgeOrder is the body of POST /v1/purges.
func purgeOrder(id, key string) map[string]any {
	return map[string]any{"id": id, "subject": "notices", "match": map[string]any{"key": key}, "who": "ops", "why": "cancelled"}
}

// purgeState returns the state of a purge as a process reports it, and the answer.
func purgeState(addr, id string) (string, map[string]any) {
	status, answer, err := httpJSON("GET", "http://"+addr+"/v1/purges/"+id, nil, 6*time.Second)
	if err != nil || status != http.StatusOK {
		return "", nil
	}
	state, _ := answer["state"].(string)
	return state, answer
}

// waitPurge waits until a purge is closed, and returns its state and the answer.
func waitPurge(rec *record, addr, id string, most time.Duration) (string, map[string]any) {
	state := ""
	var answer map[string]any
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if state, answer = purgeState(addr, id); strings.HasPrefix(state, "complete") {
			sums, _ := json.Marshal(answer["sums"])
			rec.line("purge %s: state %q, age_ms %v, lapsed_at %v, sums %s", id, state, answer["age_ms"], answer["lapsed_at"], sums)
			return state, answer
		}
	}
	rec.line("purge %s: state %q", id, state)
	return state, answer
}
