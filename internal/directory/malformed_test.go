package directory

import (
	"errors"
	"fmt"
	"reflect"
	"testing"
	"testing/synctest"
	"time"
)

// TestCutAnywhere checks that a list is read correctly if it is split at any byte, into two chunks or into two writes of
// one chunk.
func TestCutAnywhere(t *testing.T) {
	singleThreaded(t)
	for _, text := range []string{list(1) + "\n" + list(2), `{"version":1,"full":true,"servers":[{"id":"a"}]}` + "\n\n" + `{"version":2,"servers":[{"id":"b\"}{","addr":"ü"}]}` + "\n"} {
		whole := answerHead + chunk(text)
		synctest.Test(t, func(t *testing.T) {
			for i := 1; i < len(text); i++ {
				check := func(how string, s script) {
					all, _ := runWatch(1, 2*time.Second, &fakeDiscovery{scripts: []script{s}})
					if len(all) != 2 || all[0].version != 1 || all[1].version != 2 {
						t.Errorf("%s split at %d: received %v", how, i, all)
					}
				}
				check("chunks", script{pieces: []piece{{0, answerHead + chunk(text[:i])}, {500 * time.Millisecond, chunk(text[i:])}}})
			}
			for i := 1; i < len(whole); i++ {
				all, _ := runWatch(1, 2*time.Second, &fakeDiscovery{scripts: []script{{pieces: []piece{{0, whole[:i]}, {500 * time.Millisecond, whole[i:]}}}}})
				if len(all) != 2 || all[0].version != 1 || all[1].version != 2 {
					t.Errorf("writes split at %d: received %v", i, all)
				}
			}
		})
	}
}

// TestListWithoutServers checks that a full list without servers, or with null for them, is rejected: it is not passed
// on, and the list is requested again. An empty list is accepted, and so are a change without servers and a lower
// version.
func TestListWithoutServers(t *testing.T) {
	singleThreaded(t)
	for text, heard := range map[string]bool{
		`{"version":5,"full":true}`:                 false,
		`{"version":5,"full":true,"servers":null}`:  false,
		`{"version":5,"full":true,"servers":{}}`:    false,
		`{"version":5,"full":true,"servers":["a"]}`: false,
		`{"version":"5","full":true,"servers":[]}`:  false,
		`[]`:                                     false,
		`{"version":5,"full":true,"servers":[]}`: true,
		`{"version":5}`:                          true,
		`{"version":5,"full":false,"servers":null}`:   true,
		`{"version":-3,"full":false,"servers":[{}]}`:  true,
		`{"servers":[{"id":"a","weight":null}]}`:      true,
		`{"version":5,"full":true,"servers":[null]}`:  true,
		`{"version":5.5,"full":true,"servers":[]}`:    false,
		`{"version":5,"full":"true","servers":[]}`:    false,
		`{"version":5,"full":true,"servers":[{"id":1`: false,
	} {
		synctest.Test(t, func(t *testing.T) {
			d := &fakeDiscovery{scripts: []script{{pieces: []piece{{0, answerHead + chunk(text+"\n")}}, closes: true}, healthy(9)}}
			all, ends := runWatch(1, 20*time.Second, d)
			if got := len(all) == 2; got != heard || all[len(all)-1].version != 9 || len(ends) == 0 || errors.Is(ends[0], errSilent) {
				t.Errorf("%s: received %v, ends %v", text, all, ends)
			}
		})
	}
}

// TestVersionGoesBack checks that the next call asks for changes after the version received last, even if that is lower
// than the one before: discovery may restart its numbering.
func TestVersionGoesBack(t *testing.T) {
	singleThreaded(t)
	synctest.Test(t, func(t *testing.T) {
		d := &fakeDiscovery{scripts: []script{{pieces: []piece{{0, answerHead + chunk(list(41)+"\n"+list(3))}}, closes: true}, healthy(4)}}
		all, _ := runWatch(1, 20*time.Second, d)
		var versions []int64
		for _, h := range all {
			versions = append(versions, h.version)
		}
		if !reflect.DeepEqual(versions, []int64{41, 3, 4}) || fmt.Sprint(d.asked) != "[0 3]" {
			t.Errorf("received %v, asked since %v", versions, d.asked)
		}
	})
}

// TestFilled checks that Complete fills in an entry that drains or removes an endpoint and gives only its id.
func TestFilled(t *testing.T) {
	known := Entry{ID: "a", Addr: "h:1", Destination: 3, State: "up"}
	l := List{Entries: []Entry{{ID: "a", State: "draining"}, {ID: "x", State: "removed"}, {ID: "b", Addr: "h:2", Destination: 4, State: "up"},
		{ID: "b", State: "removed"}, {ID: "c", State: "odd"}, {State: "removed"}, {ID: "d", State: "up"}}}
	got := l.Complete(func(id string) (Entry, bool) { return known, id == "a" }).Entries
	want := []Entry{{ID: "a", Addr: "h:1", Destination: 3, State: "draining"}, {ID: "b", Addr: "h:2", Destination: 4, State: "up"},
		{ID: "b", Addr: "h:2", Destination: 4, State: "removed"}, {ID: "c", State: "odd"}, {State: "removed"}, {ID: "d", State: "up"}}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%+v", got)
	}
}
