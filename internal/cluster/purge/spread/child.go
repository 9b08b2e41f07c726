package spread

// This file is the way down: what each child holds and has told, and what it is sent next. One call is out to a
// child at a time.

import (
	"time"

	"flaxcove/internal/cluster/view"
)

type child struct {
	life   view.Life
	met    bool // has told how it stands
	has    uint64
	no     uint64 // of its newest message
	cohort uint32
	lives  []view.Life
	stands []Standing // of all lives below it and itself, in the order of lives
	again  bool

	flying  bool
	fails   int
	retryAt view.Now
}

// Downs are the messages due. Each must be followed by Answered or Failed.
func (s *State) Downs(now view.Now) (all []To) {
	if s.has == 0 {
		return nil // there never was a purge: silence
	}
	for _, n := range s.names {
		c := s.children[n]
		if c.flying || now < c.retryAt || c.met && c.has >= s.has && !c.again {
			continue
		}
		since := s.floor - 1 // one not met yet most often lacks what is open, and no more
		if c.met {
			since = c.has
		}
		d := s.Missed(since, now)
		d.Again = c.again || !c.met
		c.flying, c.again = true, false
		all = append(all, To{Child: c.life, Down: d})
	}
	return all
}

// Answered takes the answer to a message down.
func (s *State) Answered(life view.Life, up Up, now view.Now) {
	c := s.children[life.Name]
	if c == nil || c.life != life {
		return
	}
	c.flying, c.fails, c.retryAt = false, 0, 0
	had := c.has
	if s.FromChild(up, now).Again {
		c.again = true
	}
	if c.has <= had && c.has < s.has {
		c.retryAt = now + firstRetry // it got nothing out of it: no hurry
	}
}

// Failed tells that a message down, or its answer, was lost.
func (s *State) Failed(life view.Life, now view.Now) {
	c := s.children[life.Name]
	if c == nil || c.life != life {
		return
	}
	c.flying, c.again = false, true
	c.retryAt = now + backOff(c.fails)
	c.fails++
}

func backOff(fails int) time.Duration { return min(firstRetry<<min(fails, 8), lastRetry) }

// FromChild takes in what a child tells of all below it.
func (s *State) FromChild(up Up, now view.Now) UpAnswer {
	c := s.children[up.From.Name]
	if c == nil || up.From.Incarnation < c.life.Incarnation {
		return UpAnswer{Again: true} // not a child by this process's view: what it tells would be dropped
	}
	if up.From.Incarnation > c.life.Incarnation {
		*c = child{life: up.From}
	}
	fresh := false
	for _, r := range up.Rows {
		if s.keep(rowKey{r.Seq, r.Name, r.Folder}, r.Incarnation, r.Found) {
			fresh = true
		}
	}
	if fresh {
		s.news(now)
	}
	if up.No <= c.no {
		return UpAnswer{} // overtaken
	}
	if up.Prev != 0 && up.Prev != c.no || up.Lives == nil && up.Cohort != c.cohort {
		return UpAnswer{Again: true} // what it builds on was lost
	}
	c.no = up.No
	c.has = up.Has
	was := make(map[view.Life]uint64, len(c.stands))
	for _, st := range c.stands {
		was[st.Life] = st.Upto
	}
	if up.Lives != nil {
		c.lives, c.cohort = up.Lives, up.Cohort
	}
	behind := make(map[view.Life]uint64, len(up.Behind))
	for _, st := range up.Behind {
		behind[st.Life] = st.Upto
	}
	stands := make([]Standing, len(c.lives))
	changed := !c.met || len(c.lives) != len(c.stands)
	for i, life := range c.lives {
		upto, late := behind[life]
		if !late {
			upto = up.Base
		}
		before, known := was[life]
		stands[i] = Standing{life, max(upto, before)} // a fact stays one
		changed = changed || !known || stands[i].Upto > before
	}
	c.met, c.stands = true, stands
	if changed {
		s.news(now)
	}
	return UpAnswer{}
}
