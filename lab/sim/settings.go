package sim

// This file makes the settings with which the senders of a world are started. Both engines use them.

import (
	"encoding/json"
	"fmt"
	"math"

	"flaxcove/choice"
	"flaxcove/internal/config"
	"flaxcove/lab/world"
)

// SettingsJSON returns the settings object for the senders of a world, in the format of a real sender's configuration.
func SettingsJSON(w *world.World) json.RawMessage {
	spec := w.Spec
	zones := []string{}
	for i := range spec.Zones {
		zones = append(zones, fmt.Sprintf("z%d", i))
	}
	inFlightLimit, maxOpen := Capacity(w)
	fades := "halving"
	if !spec.Halving {
		fades = "even"
	}
	kinds := settingsOfKinds(spec.Partners)
	text, err := json.Marshal(map[string]any{
		"balancers": spec.Senders, "quantum": nanoseconds(spec.Sender.TickMS), "zones": zones, "machineTypes": kinds.names,
		"weights": spec.Sender.Rating, "classes": settingsOfClasses(spec.Classes),
		"bounds": map[string]any{"maxOpen": maxOpen, "maxAttempts": spec.Sender.MaxAttempts, "probing": spec.Sender.Probing,
			"connIdle": nanoseconds(kinds.idleS * 1e3), "dialTimeout": nanoseconds(spec.Sender.DialMS),
			"retryAfter": !spec.Sender.NoRetryAfter, "maxRetryAfter": nanoseconds(spec.Sender.LongestRetryAfterMS)},
		"extra": map[string]any{"callsOut": inFlightLimit, "bundleMax": kinds.bulkMax, "separateRoutes": kinds.separateRoutes, "fades": fades},
		"rules": map[string]any{"cold": nanoseconds(kinds.slowStartS * 1e3), "coldFrom": kinds.slowStartFrom,
			"fallMultiple": spec.Rules.FallMultiple, "fall": nanoseconds(spec.Rules.FallS * 1e3), "keyRest": nanoseconds(spec.Rules.KeyRestMS)},
		"stats": map[string]any{"fields": []string{"x0", "x1"}},
	})
	if err != nil {
		panic(err) // numbers and strings always marshal
	}
	return text
}

// nanoseconds converts milliseconds to nanoseconds.
func nanoseconds(ms float64) int64 { return int64(math.Round(ms * 1e6)) }

// settingsOfClasses returns the list of classes in the settings object.
func settingsOfClasses(all []world.Class) []map[string]any {
	idempotency := map[string]string{world.Idempotent: "pure", world.Keyed: "token", world.NonIdempotent: "side_effect"}
	classes := []map[string]any{}
	for i := range all {
		c := &all[i]
		group := ""
		if c.ZoneGroup {
			group = "zone"
		}
		classes = append(classes, map[string]any{"name": c.Name, "idempotency": idempotency[c.Repeat], "aim": nanoseconds(c.LatencyObjectiveMS),
			"deadline": nanoseconds(c.DeadlineMS), "worth": c.Value, "lateWorth": c.LateValue, "byArrival": c.Ordered,
			"repeatWindow": nanoseconds(c.WindowS * 1e3), "group": group})
	}
	return classes
}

// kindSettings holds the parts of the settings object that depend on the kinds of partner. The slices have one element for
// each kind. A sender has only one value of the other settings, which is that of the strictest kind.
type kindSettings struct {
	names          []string
	bulkMax        []int
	separateRoutes []bool
	slowStartFrom  float64 // lowest of all kinds
	slowStartS     float64 // longest of all kinds
	idleS          float64 // shortest of all kinds
}

// settingsOfKinds derives the settings from the kinds of partner.
func settingsOfKinds(all []world.PartnerKind) kindSettings {
	s := kindSettings{names: []string{}, bulkMax: []int{}, separateRoutes: []bool{}, slowStartFrom: 1, idleS: math.MaxFloat64}
	for i := range all {
		k := &all[i]
		s.names, s.bulkMax, s.separateRoutes = append(s.names, k.Name), append(s.bulkMax, k.Bundle), append(s.separateRoutes, k.SeparateRoutes)
		s.slowStartFrom = min(s.slowStartFrom, k.SlowStartFrom)
		s.slowStartS = max(s.slowStartS, k.SlowStartS)
		s.idleS = min(s.idleS, k.IdleS)
	}
	return s
}

// Capacity returns a sender's in-flight limit and its maximum of open messages. A value that the scenario leaves at 0 is
// derived from the sender's part of the load: the limit is two and a half times the mean number of calls in flight, and the
// maximum is eight seconds of the load.
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

// Settings returns the settings of package choice for a sender. They are parsed by the code that parses the settings of a
// real sender. It fails if the scenario leads to settings that this code rejects.
func Settings(w *world.World, s world.SenderNo) (choice.Settings, error) {
	var b config.Boot
	if err := json.Unmarshal(SettingsJSON(w), &b); err != nil {
		return choice.Settings{}, err
	}
	b.Zone, b.SlotNo = w.Zone(s), int(s)
	return b.Settings(true)
}
