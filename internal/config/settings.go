package config

// This file defines the settings object and converts it into choice.Settings. It rounds durations to choice.Time and
// converts words into constants of package choice. A value that cannot be converted is an error that names its field.
// checks.go checks numbers and names.

import (
	"fmt"
	"math"

	"flaxcove/choice"
)

// Boot is the settings object. The simulator and a sender on sockets read the same one. Boot has a field for each key
// that is read; other keys are ignored. Where the name of a field differs from its published key, a tag holds the key.
// Durations are in nanoseconds. For a value of the wrong type the JSON decoder returns an error, which drill prints,
// with the name Boot and the Go type of the field; the type of a nested struct lists its fields.
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
		DrainGrace    int64
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

// repeatByWord maps the words of a class's idempotency field to constants of package choice.
var repeatByWord = map[string]choice.Repeatability{
	"pure": choice.Idempotent, "token": choice.Keyed, "side_effect": choice.NonIdempotent,
}

// ratingByWord maps the words of the weights field to constants of package choice.
var ratingByWord = map[string]choice.Rating{
	"": choice.RatingNone, "off": choice.RatingNone,
	"rough": choice.RatingRough, "nominal": choice.RatingExact, "live": choice.RatingRough,
}

// Settings converts the settings object for package choice. connectionLimitAnswered says how an endpoint rejects a
// connection above its limit: true if it sends an answer that says so, as on sockets, and false if the connection fails,
// as in the simulator. An error is a *SettingError.
func (b *Boot) Settings(connectionLimitAnswered bool) (choice.Settings, error) {
	s := b.plainSettings(connectionLimitAnswered)
	var known bool
	var err error
	if s.Rating, known = ratingByWord[b.Weights]; !known {
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

// plainSettings returns the settings for which converting the type is enough.
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
		DialTimeout:          clampUp(b.Bounds.DialTimeout),
		ConnIdle:             clampDown(b.Bounds.ConnIdle),
		AnswersWhenTableFull: connectionLimitAnswered,
		TurnInterval:         clampUp(b.TickInterval),
		OverloadMultiple:     b.Rules.FallMultiple,
		OverloadWindow:       clampUp(b.Rules.Fall),
		SlowStartFrom:        b.Rules.SlowStartFrom,
		SlowStart:            clampUp(b.Rules.SlowStart),
		KeyPause:             clampUp(b.Rules.KeyRest),
		RejectedPrice:        b.Extra.RejectedPrice,
		HandshakePrice:       b.Deductions.Handshake,
	}
}

// classes converts the classes in order. With an error it also returns the classes before the invalid one.
func (b *Boot) classes() (all []choice.Class, err error) {
	for i, c := range b.Classes {
		repeat, known := repeatByWord[c.Idempotency]
		if !known {
			return all, settingError(fmt.Sprintf("classes[%d].idempotency", i), "unknown word %q", c.Idempotency)
		}
		if c.Deadline <= 0 {
			return all, settingError(fmt.Sprintf("classes[%d].deadline", i), "%d is not above 0", c.Deadline)
		}
		objective := c.LatencyObjective
		if objective == 0 {
			objective = c.Deadline // the file sets none; with 0 each call would be abandoned within a millisecond
		}
		all = append(all, choice.Class{
			Repeat:           repeat,
			ZoneGroup:        c.Group == "zone" || c.Group == "cell",
			RepeatWindow:     clampDown(c.RepeatWindow),
			LatencyObjective: clampDown(objective),
			Deadline:         clampDown(c.Deadline),
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

// routeFees returns the fees for routes into each zone, by zone number. The list must be empty or have one fee for each
// zone; each fee is a fraction from 0 to 1.
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

// quotas returns the accounts' quotas in requests per second, by account number.
func (b *Boot) quotas() (all []float64) {
	for _, a := range b.Accounts {
		all = append(all, a.QuotaRps)
	}
	return all
}

// setBounds replaces a bound of 0 by the highest number, since 0 stands for no bound. It sets MaxRetryAfter only if the
// settings honour Retry-After.
func (b *Boot) setBounds(s *choice.Settings) {
	if s.MaxOpen == 0 {
		s.MaxOpen = math.MaxInt
	}
	if s.MaxAttempts == 0 {
		s.MaxAttempts = math.MaxInt
	}
	if b.Bounds.RetryAfter {
		s.MaxRetryAfter = clampDown(b.Bounds.MaxRetryAfter)
	}
}

// kinds returns the kinds by kind number. There are as many as the longest of the lists machineTypes, extra.bundleMax
// and extra.separateRoutes has entries, and at least one.
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
