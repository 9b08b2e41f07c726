package main

// This file is a search, not a case: one destination is out for 10 s and returns cold; how many calls reach it in 1.5 s, as a
// share of what makes it fall. MODE is hang, 500, 500p, 503 or reset; RATING, RATE and TELL are numbers.

import (
	"fmt"
	"math"
	"math/rand"
	"os"
	"sync"
	"time"
)

func init() { cases["failback"] = failback }

func failback(r *run) (bool, error) {
	mode := os.Getenv("MODE")
	rating := float64(envInt("RATING", 8))
	given := rating
	if os.Getenv("ROUGH") != "" {
		given *= 1.5
	}
	a, err := newAgent(r.record, nil)
	if err != nil {
		return false, err
	}
	var mu sync.Mutex
	var calls []time.Time
	var down, up time.Time
	ne := envInt("EPS", 1)
	var es []entry
	var free time.Time
	waiting := 0
	tell := float64(envInt("TELL", 17)) / 100
	capAt := func(t time.Time) float64 {
		if up.IsZero() {
			return rating
		}
		return rating * math.Min(1, 0.14+0.86*t.Sub(up).Seconds()/13)
	}
	for i := range ne {
		e, err := newEndpoint("", func(c *call) (string, bool) {
			mu.Lock()
			calls = append(calls, c.at)
			out := !down.IsZero() && up.IsZero()
			mu.Unlock()
			if out {
				switch mode {
				case "hang":
					time.Sleep(12 * time.Second)
					return "", false
				case "500":
					return status(500, ""), true
				case "500p":
					if rand.Float64() < 0.89 {
						return status(500, ""), true
					}
				case "503":
					if rand.Float64() < tell {
						return status(429, fmt.Sprintf("Retry-After: %.3f\r\n", time.Until(down.Add(10*time.Second)).Seconds())), true
					}
					return status(503, ""), true
				case "reset":
					return "", false
				}
			}
			mu.Lock()
			now := time.Now()
			if free.Before(now) {
				free = now
			}
			if waiting >= 8 {
				mu.Unlock()
				return status(503, ""), true
			}
			free = free.Add(time.Duration(float64(time.Second) / capAt(now)))
			done := free
			waiting++
			mu.Unlock()
			time.Sleep(time.Until(done))
			mu.Lock()
			waiting--
			mu.Unlock()
			return status(200, ""), true
		})
		if err != nil {
			return false, err
		}
		es = append(es, entry{ID: fmt.Sprint("e", i), Addr: e.addr, Zone: "marabella", Kind: os.Getenv("KIND"), Cell: 7, State: "up", Weight: given})
	}
	a.set(es...)
	s := r.sender("s0")
	set := settings()
	if os.Getenv("ROUGH") == "" {
		set["weights"] = "nominal"
	}
	set["bounds"].(map[string]any)["probing"] = os.Getenv("PROBE") != ""
	if err := s.configure(configuration(s, a, set, smallLimits())); err != nil {
		return false, err
	}
	if err := s.start(); err != nil {
		return false, err
	}
	stop := time.Now().Add(35 * time.Second)
	go func() {
		time.Sleep(5 * time.Second)
		mu.Lock()
		down = time.Now()
		mu.Unlock()
		time.Sleep(10 * time.Second)
		mu.Lock()
		up = time.Now()
		mu.Unlock()
	}()
	c, err := dialClient(s.listen)
	if err != nil {
		return false, err
	}
	for n := 0; time.Now().Before(stop); n++ {
		cl := "status"
		if rand.Intn(4) == 0 {
			cl = "order"
		}
		c.do(addCommand("", fmt.Sprintf("m%06d", n), cl, 6000, 7, "x"), time.Second)
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(time.Second) / float64(envInt("RATE", 20))))
	}
	mu.Lock()
	defer mu.Unlock()
	worst := 0.0
	info := ""
	for i, t := range calls {
		if t.Before(up) {
			continue
		}
		k := 0
		for j := i; j >= 0 && t.Sub(calls[j]) < 1500*time.Millisecond && calls[j].After(up); j-- {
			k++
		}
		share := math.Min(1, 0.14+0.86*t.Sub(up).Seconds()/13)
		if share >= 1 {
			break
		}
		N := 2.5 * rating * share * 1.5
		lim := N + 3*math.Sqrt(N) + 3
		if N >= 30 {
			lim = N + 2*math.Sqrt(N) + 2
		}
		if x := float64(k) / lim; x > worst {
			worst = x
			info = fmt.Sprintf("%d calls, limit %.1f, %.2f s after the return", k, lim, t.Sub(up).Seconds())
		}
	}
	fmt.Println(mode, "worst share", worst, info, len(calls))
	return worst > 1, nil
}
