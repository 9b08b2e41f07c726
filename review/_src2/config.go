package main

// This file has the settings of the cases.

import "time"

const (
	usualWork = 250 * time.Millisecond // "170 to 300 ms at a partner system of usual pace"
	letIn     = 150 * time.Millisecond // after a wait is told: 100 ms, and 50 ms that every time limit is longer
)

// class is one class in the settings. kind is pure, token or side_effect.
func class(name, kind string, aim, deadline time.Duration, worth float64) map[string]any {
	return map[string]any{"name": name, "idempotency": kind, "group": "all", "aim": aim, "deadline": deadline, "worth": worth,
		"lateWorth": 0.5, "repeatWindow": 5 * time.Second, "byArrival": false, "streaming": false}
}

// settings returns the settings of a small deployment with the figures of naparima-flowers: kinds bulk (10 messages in a
// call) and small.
func settings() map[string]any {
	return map[string]any{
		"balancers": 1, "slotNo": 0, "quantum": 5 * time.Millisecond, "zone": 0, "zones": []string{"marabella"},
		"weights": "rough", "discovery": "pushed", "machineTypes": []string{"bulk", "small"},
		"classes": []any{class("status", "pure", 800*time.Millisecond, 6*time.Second, 1), class("order", "side_effect", 4*time.Second, 20*time.Second, 3)},
		"bounds": map[string]any{"connIdle": 10 * time.Second, "dialTimeout": time.Second, "maxAttempts": 12, "maxOpen": 211,
			"maxRetryAfter": 2 * time.Second, "peers": false, "probing": false, "retryAfter": true, "cancel": true, "secondCopies": false},
		"extra": map[string]any{"bundleMax": []int{10, 1}, "callsOut": 15, "fades": "halving", "separateRoutes": []bool{false, false}},
		"rules": map[string]any{"drainGrace": 500 * time.Millisecond, "cold": 13 * time.Second, "coldFrom": 0.14,
			"fall": 1500 * time.Millisecond, "fallMultiple": 2.5, "answerSlack": 20 * time.Millisecond},
		"stats": map[string]any{"fields": []string{"x0", "x1"}, "source": "inline"},
	}
}

// configuration returns a whole configuration. The limits are those of a small machine.
func configuration(s *sender, a *agent, set map[string]any, limits map[string]any) map[string]any {
	l, _ := a.list(0)
	return map[string]any{"name": s.name, "listen": s.listen, "discovery": a.addr, "state": s.folder + "/state", "seed": "8c1f30d27a5be964",
		"limits": limits, "known": l, "settings": set}
}

func smallLimits() map[string]any {
	return map[string]any{"cores": 1.0, "memory_mb": 64, "sockets": 512, "disk_mb": 3}
}
