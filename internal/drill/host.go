package drill

import (
	"encoding/base64"
	"fmt"
	"strings"

	"flaxcove/choice"
)

func (s *seat) say(format string, args ...any) { fmt.Fprintf(&s.said, format+"\n", args...) }

func (s *seat) Now() choice.Time { return down(s.d.clock) }

func (s *seat) Dispatch(n choice.NoticeID, to choice.EndpointID, timeOut choice.Time) {
	s.say("submit_to\t%s\t%s\t%d\t%s", s.id, n, int64(timeOut)*perTenth, to)
}

func (s *seat) Shed(n choice.NoticeID, comeBackIn choice.Time) {
	s.say("refuse\t%s\t%s\t%d", s.id, n, int64(comeBackIn)*perTenth)
}

func (s *seat) GiveUp(n choice.NoticeID) { s.say("surrender\t%s\t%s", s.id, n) }

func (s *seat) Cancel(n choice.NoticeID, dispatch int) {
	s.say("revoke\t%s\t%s\t%d", s.id, n, dispatch)
}

func (s *seat) Probe(e choice.EndpointID) { s.say("poll\t%s\t%s", s.id, e) }

func (s *seat) Note(to choice.PeerNo, body []byte) {
	peer, contents := "*", "-"
	if to != choice.EveryPeer {
		peer = fmt.Sprint(int(to))
	}
	if len(body) > 0 {
		contents = base64.StdEncoding.EncodeToString(body)
	}
	s.say("publish\t%s\t%s\t%s", s.id, peer, contents)
}

func (s *seat) Watch(on bool) {
	enable := 0
	if on {
		enable = 1
	}
	s.say("stream_changes\t%s\t%d", s.id, enable)
}

func (s *seat) Fetch() { s.say("resolve\t%s", s.id) }

func (s *seat) CloseIdle(e choice.EndpointID) { s.say("free_links\t%s\t%s", s.id, e) }

func (s *seat) Timer(in choice.Time, id choice.TimerID) {
	s.say("timer\t%s\t%d\t%d", s.id, int64(in)*perTenth, int64(id))
}

func (s *seat) Log(text string) {
	s.say("log\t%s\t%s", s.id, strings.Map(func(r rune) rune {
		if r == '\n' || r == '\r' {
			return ' '
		}
		return r
	}, text))
}
