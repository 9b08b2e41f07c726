package fair

import "testing"

// TestGreedyClientsLeaveRoom checks that clients which submit all the time fill the resource but for the reserve, and that
// other clients then get places, while none of the greedy ones gets another.
func TestGreedyClientsLeaveRoom(t *testing.T) {
	for _, greedy := range []int{1, 7, 100} {
		const limit, usual = 1600, 16
		connected := greedy + usual
		held, own := 0.0, make([]float64, greedy)
		submit := func(i int) bool {
			r := Resource{Limit: limit, Held: held, Own: own[i], Needed: 1}
			admitted := Admits(Client{Connected: connected, Established: true, Pipelining: true}, r)
			if admitted {
				held, own[i] = held+1, own[i]+1
			}
			return admitted
		}
		for progress := true; progress; {
			progress = false
			for i := range greedy {
				progress = submit(i) || progress
			}
		}
		if held < limit*3/4 {
			t.Errorf("%d greedy clients hold %.0f of %d places", greedy, held, limit)
		}
		for range usual {
			if !Admits(Client{Connected: connected, Established: true}, Resource{Limit: limit, Held: held, Needed: 1}) {
				t.Errorf("beside %d greedy clients, which hold %.0f of %d places, another client gets none", greedy, held, limit)
			}
			held++
		}
	}
}

// TestConnectingAgainGetsNoNewShare checks that clients which connect, submit and leave get no more together than one
// client that stays, but for one message each, and that they leave the reserve to others.
func TestConnectingAgainGetsNoNewShare(t *testing.T) {
	const limit, connected = 1600, 20
	held := 0.0
	for range 1000 {
		for own := 0.0; own < 300; own++ {
			r := Resource{Limit: limit, Held: held, Own: own, Departed: held - own, Needed: 1}
			if !Admits(Client{Connected: connected, Pipelining: own > 0}, r) {
				break
			}
			held++
		}
	}
	if free := limit - held; free < limit/newcomerReserveDivisor-1 {
		t.Errorf("clients that come again and again leave %.0f of %d places", free, limit)
	}
	if !Admits(Client{Connected: connected, Established: true}, Resource{Limit: limit, Held: held, Departed: held, Needed: 1}) {
		t.Error("an established client gets no place")
	}
}

// TestFullResourceAdmitsNothing checks that no client gets more than there is, in any of several resources.
func TestFullResourceAdmitsNothing(t *testing.T) {
	empty, full := Resource{Limit: 10, Needed: 1}, Resource{Limit: 10, Held: 10, Needed: 1}
	if c := (Client{Connected: 1, Pipelining: true}); !Admits(c, empty) || Admits(c, empty, full) || Admits(c, full, empty) {
		t.Error("a full resource admits a message, or an empty one admits none")
	}
}
