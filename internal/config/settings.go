package config

// This file defines the settings object and converts it into choice.Settings: durations are rounded to choice.Time, and
// words are looked up. A value that cannot be converted is an error that names its field; checks.go holds the checks of
// numbers and names.

import (
	"fmt"
	"math"

	"flaxcove/choice"
)

// Boot is the settings object, the same for the simulator and for a sender on sockets. It lists the keys that are read;
// other keys are ignored. The tags keep the published keys where a field has a standard name. Durations are in
// nanoseconds. Where a value has the wrong type, the JSON decoder's error, which drill prints, names Boot and the Go type of
// the field; it lists the fields of a nested struct.
type Boot struct {
	Accounts []struct {
		Name     string
		QuotaRps float64
	}
	Senders int `json:"Balancers"`
	Bounds  struct {
		Cancel        bool
		ConnIdle      int64
		DialTimeout   int64
		MaxAttempts   int
		MaxOpen       int
		MaxRetryAfter int64
		Peers         bool // senders may exchange gossip
		Probing       bool
		RetryAfter    bool
	}
	Classes []struct {
		Name               string
		LatencyObjective   int64 `json:"Aim"`
		Deadline           int64
		Group              string
		Idempotency        string
		ByArrival          bool
		LatePriorityWeight float64 `json:"LateWorth"`
		RepeatWindow       int64
		PriorityWeight     float64 `json:"Worth"`
	}
	Deductions struct{ Handshake float64 }
	Discovery  string
	Extra      struct {
		BulkMax        []int     `json:"BundleMax"`
		InFlightLimit  int       `json:"CallsOut"`
		RouteFees      []float64 `json:"Carriage"`
		ValueDecay     string    `json:"Fades"`
		SeparateRoutes []bool
		RejectedPrice  float64 `json:"TurnedAwayPrice"`
	}
	MachineTypes            []string
	OverQuotaPriorityWeight float64 `json:"OverShareWorth"`
	TickInterval            int64   `json:"Quantum"`
	Rules                   struct {
		SlowStart     int64   `json:"Cold"`
		SlowStartFrom float64 `json:"ColdFrom"`
		Fall          int64
		FallMultiple  float64
		KeyRest       int64
	}
	SlotNo  int
	Stats   struct{ Fields []string }
	Weights string
	Zone    int
	Zones   []string
}

// idempotencies are the words of a class's idempotency field.
var idempotencies = map[string]choice.Repeat{
	"pure": choice.Idempotent, "token": choice.Keyed, "side_effect": choice.NonIdempotent,
}

// ratings are the words of the weights field.
var ratings = map[string]choice.Rating{
	"": choice.RatingNone, "off": choice.RatingNone,
	"rough": choice.RatingRough, "nominal": choice.RatingExact, "live": choice.RatingRough,
}

// Settings converts the settings object for the deciding module. connectionLimitAnswered says how an endpoint shows that
// it takes no more connections: on sockets it answers so, on the simulator's wire the connection fails.
func (b *Boot) Settings(connectionLimitAnswered bool) (choice.Settings, error) {
	s := b.plainSettings(connectionLimitAnswered)
	var known bool
	var err error
	if s.Rating, known = ratings[b.Weights]; !known {
		return s, settingError("weights", "unknown word %q", b.Weights)
	}
	if err = b.checkNumbers(); err != nil {
		return s, err
	}
	b.setBounds(&s)
	if s.Classes, err = b.classes(); err != nil {
		return s, err
	}
	s.Kinds = b.kinds()
	if s.RouteFees, err = b.routeFees(); err != nil {
		return s, err
	}
	s.Quotas = b.quotas()
	return s, nil
}

// plainSettings are the settings that need no more than a conversion of their type.
func (b *Boot) plainSettings(connectionLimitAnswered bool) choice.Settings {
	return choice.Settings{
		Senders:              max(1, b.Senders),
		Number:               choice.PeerNo(b.SlotNo),
		Zone:                 choice.ZoneNo(b.Zone),
		InFlightLimit:        b.Extra.InFlightLimit,
		MaxOpen:              b.Bounds.MaxOpen,
		MaxAttempts:          b.Bounds.MaxAttempts,
		OverQuotaValue:       b.OverQuotaPriorityWeight,
		Halving:              b.Extra.ValueDecay == "halving",
		Probing:              b.Bounds.Probing,
		Notes:                b.Bounds.Peers,
		Cancelling:           b.Bounds.Cancel,
		DialTimeout:          atLeast(b.Bounds.DialTimeout),
		ConnIdle:             atMost(b.Bounds.ConnIdle),
		AnswersWhenTableFull: connectionLimitAnswered,
		TurnInterval:         atLeast(b.TickInterval),
		OverloadMultiple:     b.Rules.FallMultiple,
		OverloadWindow:       atLeast(b.Rules.Fall),
		SlowStartFrom:        b.Rules.SlowStartFrom,
		SlowStart:            atLeast(b.Rules.SlowStart),
		KeyPause:             atLeast(b.Rules.KeyRest),
		RejectedPrice:        b.Extra.RejectedPrice,
		HandshakePrice:       b.Deductions.Handshake,
	}
}

// classes converts the classes in their order; on an error, those before the wrong one come along.
func (b *Boot) classes() (all []choice.Class, err error) {
	for i, c := range b.Classes {
		repeat, known := idempotencies[c.Idempotency]
		if !known {
			return all, settingError(fmt.Sprintf("classes[%d].idempotency", i), "unknown word %q", c.Idempotency)
		}
		if c.Deadline <= 0 {
			return all, settingError(fmt.Sprintf("classes[%d].deadline", i), "%d is not above 0", c.Deadline)
		}
		objective := c.LatencyObjective
		if objective == 0 {
			objective = c.Deadline // none is set: with 0 each call would be given up within a millisecond
		}
		all = append(all, choice.Class{
			Repeat:           repeat,
			ZoneGroup:        c.Group == "zone" || c.Group == "cell",
			RepeatWindow:     atMost(c.RepeatWindow),
			LatencyObjective: atMost(objective),
			Deadline:         atMost(c.Deadline),
			Value:            c.PriorityWeight,
			LateValue:        c.LatePriorityWeight,
			Ordered:          c.ByArrival,
		})
	}
	if len(all) == 0 {
		return all, settingError("classes", "missing")
	}
	return all, nil
}

// routeFees are the fees for routes into each zone, one a zone or none at all, each a fraction from 0 to 1.
func (b *Boot) routeFees() ([]float64, error) {
	for i, fee := range b.Extra.RouteFees {
		if !(fee >= 0 && fee <= 1) {
			return nil, settingError(fmt.Sprintf("extra.carriage[%d]", i), "%v is not 0 to 1", fee)
		}
	}
	fees := b.Extra.RouteFees
	if len(fees) > 0 && len(fees) != len(b.Zones) {
		return fees, settingError("extra.carriage", "%d fees for %d zones", len(fees), len(b.Zones))
	}
	return fees, nil
}

// quotas are the accounts' quotas in requests a second, by account number.
func (b *Boot) quotas() (all []float64) {
	for _, a := range b.Accounts {
		all = append(all, a.QuotaRps)
	}
	return all
}

// setBounds reads 0 as no bound, and takes the longest Retry-After only where Retry-After is honoured.
func (b *Boot) setBounds(s *choice.Settings) {
	if s.MaxOpen == 0 {
		s.MaxOpen = math.MaxInt
	}
	if s.MaxAttempts == 0 {
		s.MaxAttempts = math.MaxInt
	}
	if b.Bounds.RetryAfter {
		s.MaxRetryAfter = atMost(b.Bounds.MaxRetryAfter)
	}
}

// kinds are as many as the longest of the three lists that describe them, and at least one.
func (b *Boot) kinds() (all []choice.Kind) {
	for i := range max(1, len(b.MachineTypes), len(b.Extra.BulkMax), len(b.Extra.SeparateRoutes)) {
		k := choice.Kind{BulkMax: 1}
		if i < len(b.Extra.BulkMax) {
			k.BulkMax = max(1, b.Extra.BulkMax[i])
		}
		k.SeparateRoutes = i < len(b.Extra.SeparateRoutes) && b.Extra.SeparateRoutes[i]
		all = append(all, k)
	}
	return all
}
