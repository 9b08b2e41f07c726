package config

import (
	"errors"
	"fmt"
	"math"

	"flaxcove/choice"
)

// Boot is the settings object, on the bench and on sockets alike. It names the keys that are read; the others
// are skipped.
type Boot struct {
	Accounts []struct {
		QuotaRps float64
	}
	Balancers int
	Bounds    struct {
		Cancel        bool
		ConnIdle      int64
		DialTimeout   int64
		MaxAttempts   int
		MaxOpen       int
		MaxRetryAfter int64
		Peers         bool
		Probing       bool
		RetryAfter    bool
	}
	Classes []struct {
		Name         string
		Aim          int64
		Deadline     int64
		Group        string
		Idempotency  string
		ByArrival    bool
		LateWorth    float64
		RepeatWindow int64
		Worth        float64
	}
	Deductions struct{ Handshake float64 }
	Discovery  string
	Extra      struct {
		BundleMax       []int
		CallsOut        int
		Carriage        []float64
		Fades           string
		SeparateRoutes  []bool
		TurnedAwayPrice float64
	}
	MachineTypes   []string
	OverShareWorth float64
	Quantum        int64
	Rules          struct {
		Cold         int64
		ColdFrom     float64
		Fall         int64
		FallMultiple float64
		KeyRest      int64
	}
	SlotNo  int
	Stats   struct{ Fields []string }
	Weights string
	Zone    int
	Zones   []string
}

// perTenth is the nanoseconds in one of choice.Time's tenths of a millisecond.
const perTenth = 100_000

// Down rounds nanoseconds down to choice.Time, for spans that must not be outstayed.
func Down(ns int64) choice.Time {
	t := ns / perTenth
	if ns%perTenth < 0 {
		t--
	}
	return choice.Time(t)
}

// Up rounds up, for spans that must be waited out.
func Up(ns int64) choice.Time { return -Down(-ns) }

// Nanoseconds is the way back.
func Nanoseconds(t choice.Time) int64 { return int64(t) * perTenth }

var repeats = map[string]choice.Repeat{
	"pure": choice.Replayable, "token": choice.Tokened, "side_effect": choice.SingleUse,
}

var ratings = map[string]choice.Rating{
	"": choice.RatingNone, "off": choice.RatingNone,
	"rough": choice.RatingRough, "nominal": choice.RatingExact, "live": choice.RatingRough,
}

// Settings are what the module is started with. tellsFull says how a full table of connections shows: on sockets it is
// answered, on the simulator's wire the connection fails.
func (b *Boot) Settings(tellsFull bool) (choice.Settings, error) {
	s := choice.Settings{
		Senders:        max(1, b.Balancers),
		Number:         choice.PeerNo(b.SlotNo),
		Zone:           choice.ZoneNo(b.Zone),
		Slots:          b.Extra.CallsOut,
		MaxOpen:        b.Bounds.MaxOpen,
		MaxDispatches:  b.Bounds.MaxAttempts,
		OverShareGain:  b.OverShareWorth,
		Halving:        b.Extra.Fades == "halving",
		Probing:        b.Bounds.Probing,
		Notes:          b.Bounds.Peers,
		Cancelling:     b.Bounds.Cancel,
		DialTimeout:    Up(b.Bounds.DialTimeout),
		ConnIdle:       Down(b.Bounds.ConnIdle),
		TellsFull:      tellsFull,
		Turn:           Up(b.Quantum),
		FallMultiple:   b.Rules.FallMultiple,
		Fall:           Up(b.Rules.Fall),
		ColdFrom:       b.Rules.ColdFrom,
		Cold:           Up(b.Rules.Cold),
		KeyRest:        Up(b.Rules.KeyRest),
		RefusedPrice:   b.Extra.TurnedAwayPrice,
		HandshakePrice: b.Deductions.Handshake,
	}
	var known bool
	if s.Rating, known = ratings[b.Weights]; !known {
		return s, fmt.Errorf("weights: unknown word %q", b.Weights)
	}
	if s.Slots < 0 || s.MaxOpen < 0 || s.MaxDispatches < 0 || b.Quantum < 0 {
		return s, errors.New("a count or a time is below 0")
	}
	if s.MaxOpen == 0 {
		s.MaxOpen = math.MaxInt
	}
	if s.MaxDispatches == 0 {
		s.MaxDispatches = math.MaxInt
	}
	if b.Bounds.RetryAfter {
		s.LongestReturn = Down(b.Bounds.MaxRetryAfter)
	}
	for i, c := range b.Classes {
		repeat, known := repeats[c.Idempotency]
		if !known {
			return s, fmt.Errorf("classes[%d].idempotency: unknown word %q", i, c.Idempotency)
		}
		if c.Deadline <= 0 || c.Aim < 0 {
			return s, fmt.Errorf("classes[%d]: aim %d, deadline %d", i, c.Aim, c.Deadline)
		}
		s.Workloads = append(s.Workloads, choice.Workload{
			Repeat:       repeat,
			ZoneGroup:    c.Group == "zone" || c.Group == "cell",
			RepeatWindow: Down(c.RepeatWindow),
			ContractTime: Down(c.Aim),
			HardStop:     Down(c.Deadline),
			Gain:         c.Worth,
			LateGain:     c.LateWorth,
			ByArrival:    c.ByArrival,
		})
	}
	if len(s.Workloads) == 0 {
		return s, errors.New("classes: missing")
	}
	kinds := max(1, len(b.MachineTypes), len(b.Extra.BundleMax), len(b.Extra.SeparateRoutes))
	for i := range kinds {
		k := choice.Kind{BundleMax: 1}
		if i < len(b.Extra.BundleMax) {
			k.BundleMax = max(1, b.Extra.BundleMax[i])
		}
		k.Apart = i < len(b.Extra.SeparateRoutes) && b.Extra.SeparateRoutes[i]
		s.Kinds = append(s.Kinds, k)
	}
	for i, fee := range b.Extra.Carriage {
		if !(fee >= 0 && fee <= 1) {
			return s, fmt.Errorf("extra.carriage[%d]: %v is not 0 to 1", i, fee)
		}
	}
	if s.RouteFees = b.Extra.Carriage; len(s.RouteFees) > 0 && len(s.RouteFees) != len(b.Zones) {
		return s, fmt.Errorf("extra.carriage: %d fees for %d zones", len(s.RouteFees), len(b.Zones))
	}
	for _, span := range []struct {
		field string
		told  int64
	}{
		{"rules.keyRest", b.Rules.KeyRest}, {"rules.cold", b.Rules.Cold}, {"rules.fall", b.Rules.Fall},
		{"bounds.maxRetryAfter", b.Bounds.MaxRetryAfter}, {"bounds.connIdle", b.Bounds.ConnIdle},
		{"bounds.dialTimeout", b.Bounds.DialTimeout},
	} {
		if span.told < 0 {
			return s, fmt.Errorf("%s: %d is below 0", span.field, span.told)
		}
	}
	for _, a := range b.Accounts {
		s.Quotas = append(s.Quotas, a.QuotaRps)
	}
	return s, nil
}
