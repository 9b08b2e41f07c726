package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"flaxcove/internal/cluster/configuration"
	"flaxcove/internal/sender/clusterapi"
)

// singleProcessCluster is a cluster of one process, which can be started several times with the same folders.
type singleProcessCluster struct {
	t                              *testing.T
	dir, listen, http              string
	gossip, consensus              string
	program                        *exec.Cmd    // the process that was started last
	log                            bytes.Buffer // its standard error
	clusterFile, configurationFile string
}

// oneClassSettings is a settings object with a single class, "a".
const oneClassSettings = `{"classes":[{"name":"a","idempotency":"pure","deadline":60000000000}],"extra":{"callsOut":4}}`

func newSingleProcessCluster(t *testing.T) *singleProcessCluster {
	t.Helper()
	a := &singleProcessCluster{t: t, dir: t.TempDir(), listen: freeAddr(t), http: freeAddr(t), gossip: freeAddr(t), consensus: freeAddr(t)}
	a.clusterFile, a.configurationFile = filepath.Join(a.dir, "cluster.toml"), filepath.Join(a.dir, "config.json")
	writeFile(t, a.clusterFile, fmt.Sprintf(`name = "one"
founders = ["anna"]
[here]
process = "anna"
zone = "east"
size = "large"
folder = %q
gossip = %q
council = %q
http = %q
beyond_loopback = false
[zones]
east = "coast"
[uses]
configuration = true
`, a.folder(), a.gossip, a.consensus, a.http))
	writeFile(t, a.configurationFile, fmt.Sprintf(`{"name":"s","listen":%q,"discovery":"127.0.0.1:1","state":%q,"settings":%s,
"known":{"version":1,"full":true,"servers":[{"id":"e","addr":"127.0.0.1:1","zone":"z","kind":"k","cell":1,"state":"up","weight":1}]}}`,
		a.listen, filepath.Join(a.dir, "state"), oneClassSettings))
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("log of the last process:\n%s", a.log.String())
		}
	})
	return a
}

func (a *singleProcessCluster) folder() string { return filepath.Join(a.dir, "cluster") }

// start clears the log and starts the process.
func (a *singleProcessCluster) start() {
	a.t.Helper()
	a.log.Reset()
	a.program = exec.Command(os.Args[0], "serve", "--cluster", a.clusterFile)
	a.program.Env = append(os.Environ(), "EDGE_CONFIG="+a.configurationFile)
	a.program.Stderr = &a.log
	startProgram(a.t, a.program)
}

// servesVersion returns the condition that the sender runs a version of the shared settings. Version 0 means the settings of
// its own configuration file.
func (a *singleProcessCluster) servesVersion(version int) func() bool {
	return func() bool {
		text, err := sendCommand(a.listen, "INFO")
		return err == nil && strings.Contains(text, fmt.Sprintf("configuration_version:%d\r", version))
	}
}

// proposeSettings proposes new shared settings on top of version base, waits until they are in force or rejected, and returns
// the HTTP status and the body of the response.
func (a *singleProcessCluster) proposeSettings(id string, base int, settings string) (status int, answer string) {
	body := fmt.Sprintf(`{"id":%q,"base":%d,"settings":%s,"who":"test","why":"test"}`, id, base, settings)
	a.t.Helper()
	eventually(a.t, "a response to the proposal", func() bool {
		r, err := http.Post("http://"+a.http+"/v1/configuration?wait=in_force&for=10s", "application/json", strings.NewReader(body))
		if err != nil {
			return false
		}
		defer r.Body.Close()
		text, _ := io.ReadAll(r.Body)
		status, answer = r.StatusCode, string(text)
		return status != http.StatusServiceUnavailable
	})
	return status, answer
}

// TestServeWithSharedSettings checks that a process applies a committed version of the shared settings, rejects a version that
// removes a class, and starts with the cached version after it was killed. It must not start if the cached version cannot be
// read or applied, because the settings of its own configuration file are older.
func TestServeWithSharedSettings(t *testing.T) {
	a := newSingleProcessCluster(t)
	a.start()
	eventually(t, "the sender runs the settings of its own file", a.servesVersion(0))
	if text, err := sendCommand(a.listen, "OUT.ADD", "0", "early", "c=b,d=60000,dest=1", "x"); err == nil {
		t.Errorf("a message of a class that does not exist yet was accepted: %s", text)
	}
	two := strings.Replace(oneClassSettings, `],"extra"`, `,{"name":"b","idempotency":"pure","deadline":60000000000}],"extra"`, 1)
	if status, answer := a.proposeSettings("one", 0, two); status != http.StatusOK {
		t.Fatal(status, answer)
	}
	eventually(t, "version 1 is in force", a.servesVersion(1))
	if status, answer := a.proposeSettings("two", 1, oneClassSettings); status != http.StatusBadRequest || !strings.Contains(answer, "classes[1].name") {
		t.Error("response to settings that remove a class: ", status, answer)
	}
	if text, err := sendCommand(a.listen, "OUT.ADD", "0", "owed", "c=b,d=60000,dest=1", "x"); err != nil || text != "OK" {
		t.Errorf("answer to a message of the new class: %s %v", text, err)
	}
	a.program.Process.Kill()
	a.program.Wait()

	a.start()
	eventually(t, "the restarted sender runs the cached version", a.servesVersion(1))
	if text, err := sendCommand(a.listen, "OUT.ADD", "0", "later", "c=b,d=60000,dest=1", "x"); err != nil || text != "OK" {
		t.Errorf("answer to a message of the new class after a restart: %s %v", text, err)
	}
	a.program.Process.Signal(syscall.SIGTERM)
	if err := a.program.Wait(); err != nil {
		t.Error(err)
	}

	path := configuration.Path(a.folder())
	stored, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for _, damaged := range []func() string{
		func() string {
			writeFile(t, path, string(stored[:len(stored)/2]))
			return "truncated or damaged"
		},
		func() string {
			if err := configuration.Store(a.folder(), clusterapi.Configuration{Version: 9, Settings: json.RawMessage(`{"classes":[]}`)}); err != nil {
				t.Fatal(err)
			}
			return "version 9: field settings: classes: missing"
		},
	} {
		expected := damaged()
		a.start()
		if err := a.program.Wait(); err == nil || !strings.Contains(a.log.String(), path) || !strings.Contains(a.log.String(), expected) {
			t.Errorf("want an error that contains %q and %s: %v\n%s", expected, path, err, a.log.String())
		}
	}
}
