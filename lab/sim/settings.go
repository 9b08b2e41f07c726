package sim

// This file owns the settings that a sender of a world is started with, for both engines. It must never know which engine asks.

import (
	"encoding/json"
	"fmt"
	"math"

	"flaxcove/choice"
	"flaxcove/internal/config"
	"flaxcove/lab/world"
)

// SettingsJSON is the settings object for a sender of a world, as both engines hand it over: the same text that a real sender
// finds in its configuration.
func SettingsJSON(w *world.World) json.RawMessage {
	spec := w.Spec
	ns := func(ms float64) int64 { return int64(math.Round(ms * 1e6)) }
	words := map[string]string{world.Idempotent: "pure", world.Keyed: "token", world.NonIdempotent: "side_effect"}
	classes := []map[string]any{}
	for i := range spec.Classes {
		l := &spec.Classes[i]
		group := ""
		if l.ZoneGroup {
			group = "zone"
		}
		classes = append(classes, map[string]any{"name": l.Name, "idempotency": words[l.Repeat], "aim": ns(l.LatencyObjectiveMS),
			"deadline": ns(l.DeadlineMS), "worth": l.Value, "lateWorth": l.LateValue, "byArrival": l.Ordered,
			"repeatWindow": ns(l.WindowS * 1e3), "group": group})
	}
	bundles, apart, kinds := []int{}, []bool{}, []string{}
	slowStartFrom, slowStartS, idle := 1.0, 0.0, math.MaxFloat64
	for i := range spec.Partners {
		k := &spec.Partners[i]
		bundles, apart, kinds = append(bundles, k.Bundle), append(apart, k.SeparateRoutes), append(kinds, k.Name)
		slowStartFrom, slowStartS, idle = min(slowStartFrom, k.SlowStartFrom), max(slowStartS, k.SlowStartS), min(idle, k.IdleS)
	}
	zones := []string{}
	for i := range spec.Zones {
		zones = append(zones, fmt.Sprintf("z%d", i))
	}
	inFlightLimit, open := Capacity(w)
	fades := "halving"
	if !spec.Halving {
		fades = "even"
	}
	weights := spec.Sender.Rating
	text, err := json.Marshal(map[string]any{
		"balancers": spec.Senders, "quantum": ns(spec.Sender.TickMS), "zones": zones, "machineTypes": kinds, "weights": weights,
		"classes": classes,
		"bounds": map[string]any{"maxOpen": open, "maxAttempts": spec.Sender.MaxAttempts, "probing": spec.Sender.Probing,
			"connIdle": ns(idle * 1e3), "dialTimeout": ns(spec.Sender.DialMS), "retryAfter": !spec.Sender.NoRetryAfter,
			"maxRetryAfter": ns(spec.Sender.LongestRetryAfterMS)},
		"extra": map[string]any{"callsOut": inFlightLimit, "bundleMax": bundles, "separateRoutes": apart, "fades": fades},
		"rules": map[string]any{"cold": ns(slowStartS * 1e3), "coldFrom": slowStartFrom, "fallMultiple": spec.Rules.FallMultiple,
			"fall": ns(spec.Rules.FallS * 1e3), "keyRest": ns(spec.Rules.KeyRestMS)},
		"stats": map[string]any{"fields": []string{"x0", "x1"}},
	})
	if err != nil {
		panic(err) // numbers and strings always marshal
	}
	return text
}

// Capacity is how many calls a sender may have out and how many messages it may hold: as the scenario says, or twice what
// its part of the load keeps busy and eight seconds of it.
func Capacity(w *world.World) (inFlightLimit, open int) {
	part := w.Spec.Load.Rate / float64(w.Spec.Senders)
	busy := 0.0
	for _, p := range w.Partners {
		mean := 0.0
		for i := range p.Endpoints {
			mean += w.MeanMS(p.Endpoints[i]) / float64(len(p.Endpoints))
		}
		busy += part * p.Share * (mean + 2*w.Spec.Network.SameMS[1]) / 1e3
	}
	inFlightLimit, open = w.Spec.Sender.InFlightLimit, w.Spec.Sender.MaxOpen
	if inFlightLimit == 0 {
		inFlightLimit = max(4, int(math.Ceil(2.5*busy)))
	}
	if open == 0 {
		open = max(32, int(8*part))
	}
	return inFlightLimit, open
}

// Settings are what the module is started with, read by the code that reads a real sender's.
func Settings(w *world.World, s world.SenderNo) (choice.Settings, error) {
	var b config.Boot
	if err := json.Unmarshal(SettingsJSON(w), &b); err != nil {
		return choice.Settings{}, err
	}
	b.Zone, b.SlotNo = w.Zone(s), int(s)
	return b.Settings(true)
}
