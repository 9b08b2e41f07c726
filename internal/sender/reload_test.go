package sender

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// TestReload checks that a reload moves the watch of the endpoint list and the reports to the platform to the new address,
// an unanswered report too. The old watch and the list stay until the new watch has been answered. A configuration that
// cannot be read changes nothing.
func TestReload(t *testing.T) {
	var places []*fakeDiscovery
	for i := range 3 {
		p := &fakeDiscovery{outcomes: make(chan string, 100), asked: make(chan struct{}, 100), answers: i == 2, updates: i != 1}
		p.Server = httptest.NewServer(p)
		defer p.Server.CloseClientConnections()
		places = append(places, p)
	}
	cfg := testConfig(t.TempDir(), 100)
	cfg.Listen, cfg.Discovery = "127.0.0.1:0", places[0].addr()
	s, done := startRunning(t, cfg)
	client := connectClient(t, s)
	client.Write(outAdd("0", "late", "c=status,d=1200,dest=1", ""))
	if line := <-places[0].outcomes; !strings.Contains(line, `"late"`) {
		t.Errorf("the first platform received %q", line)
	}
	s.Reload(nil, io.ErrUnexpectedEOF)
	for _, p := range places[1:] {
		fresh := *cfg
		fresh.Discovery = p.addr()
		s.Reload(&fresh, nil)
		<-p.asked
	}
	if line := <-places[2].outcomes; !strings.Contains(line, `"late"`) {
		t.Errorf("the last platform received %q", line)
	}
	waitOnLoop(t, s, "all endings are reported, one watch runs, and its endpoint is listed", func() bool {
		return len(s.endings) == 0 && len(s.watches) == 1 && s.endpoints["new"] != nil
	})
	client.Close()
	s.Drain()
	<-done
}

// fakeDiscovery is the discovery and the platform at one address.
type fakeDiscovery struct {
	*httptest.Server
	outcomes chan string   // the bodies of the reports received
	asked    chan struct{} // one element for each watch
	updates  bool          // each watch gets a list with one endpoint
	answers  bool          // reports are answered
}

func (p *fakeDiscovery) addr() string { return p.Listener.Addr().String() }

func (p *fakeDiscovery) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/outcomes" {
		body, _ := io.ReadAll(r.Body)
		p.outcomes <- string(body)
		if p.answers {
			out.WriteHeader(http.StatusNoContent)
			return
		}
	} else {
		p.asked <- struct{}{}
		if p.updates {
			io.WriteString(out, `{"version":3,"full":false,"servers":[{"id":"new","addr":"127.0.0.1:3","zone":"z","kind":"one","cell":3,"state":"up"}]}`+"\n")
			out.(http.Flusher).Flush()
		}
	}
	<-r.Context().Done()
}
