package config

// This file owns the settings object and its turning into the module's choice.Settings: spans rounded to choice.Time,
// words looked up, numbers and names checked. It must never pass a value it cannot read; it names the field instead.

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"

	"flaxcove/choice"
)

// Boot is the settings object, on the bench and on sockets alike. It names the keys that are read; the others
// are skipped.
type Boot struct {
	Accounts []struct {
		Name     string
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
		BundleMax      []int
		CallsOut       int
		Carriage       []float64
		Fades          string
		SeparateRoutes []bool
		RejectedPrice  float64 `json:"TurnedAwayPrice"`
	}
	MachineTypes            []string
	OverQuotaPriorityWeight float64 `json:"OverShareWorth"`
	Quantum                 int64
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
	"pure": choice.Idempotent, "token": choice.Keyed, "side_effect": choice.NonIdempotent,
}

var ratings = map[string]choice.Rating{
	"": choice.RatingNone, "off": choice.RatingNone,
	"rough": choice.RatingRough, "nominal": choice.RatingExact, "live": choice.RatingRough,
}

// longest is what a span counts as that is told longer: some write the highest number for no end, and sums with it must
// not pass the highest number in turn, as a timer that lies in the past fires at once.
const longest = 10 * 365 * 24 * 3600 * 1_000_000_000

// Settings are what the module is started with. tellsFull says how a full table of connections shows: on sockets it is
// answered, on the simulator's wire the connection fails.
func (b *Boot) Settings(tellsFull bool) (choice.Settings, error) {
	s := choice.Settings{
		Senders:        max(1, b.Balancers),
		Number:         choice.PeerNo(b.SlotNo),
		Zone:           choice.ZoneNo(b.Zone),
		InFlightLimit:  b.Extra.CallsOut,
		MaxOpen:        b.Bounds.MaxOpen,
		MaxAttempts:    b.Bounds.MaxAttempts,
		OverShareValue: b.OverQuotaPriorityWeight,
		Halving:        b.Extra.Fades == "halving",
		Probing:        b.Bounds.Probing,
		Notes:          b.Bounds.Peers,
		Cancelling:     b.Bounds.Cancel,
		DialTimeout:    Up(min(longest, b.Bounds.DialTimeout)),
		ConnIdle:       Down(min(longest, b.Bounds.ConnIdle)),
		TellsFull:      tellsFull,
		Turn:           Up(min(longest, b.Quantum)),
		FallMultiple:   b.Rules.FallMultiple,
		Fall:           Up(min(longest, b.Rules.Fall)),
		SlowStartFrom:  b.Rules.SlowStartFrom,
		SlowStart:      Up(min(longest, b.Rules.SlowStart)),
		KeyRest:        Up(min(longest, b.Rules.KeyRest)),
		RefusedPrice:   b.Extra.RejectedPrice,
		HandshakePrice: b.Deductions.Handshake,
	}
	var known bool
	var err error
	if s.Rating, known = ratings[b.Weights]; !known {
		return s, fmt.Errorf("weights: unknown word %q", b.Weights)
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

// classes turns each class of the settings into the module's, in their order; on an error, those before it come along.
func (b *Boot) classes() (all []choice.Class, err error) {
	for i, c := range b.Classes {
		repeat, known := repeats[c.Idempotency]
		if !known {
			return all, fmt.Errorf("classes[%d].idempotency: unknown word %q", i, c.Idempotency)
		}
		if c.Deadline <= 0 {
			return all, fmt.Errorf("classes[%d].deadline: %d is not above 0", i, c.Deadline)
		}
		objective := c.LatencyObjective
		if objective == 0 {
			objective = c.Deadline // none is set: with 0 each call would be given up within a millisecond
		}
		all = append(all, choice.Class{
			Repeat:           repeat,
			ZoneGroup:        c.Group == "zone" || c.Group == "cell",
			RepeatWindow:     Down(min(longest, c.RepeatWindow)),
			LatencyObjective: Down(min(longest, objective)),
			Deadline:         Down(min(longest, c.Deadline)),
			Value:            c.PriorityWeight,
			LateValue:        c.LatePriorityWeight,
			ByArrival:        c.ByArrival,
		})
	}
	if len(all) == 0 {
		return all, errors.New("classes: missing")
	}
	return all, nil
}

// routeFees are the carriage fees, one for each zone or none at all, each a share from 0 to 1.
func (b *Boot) routeFees() ([]float64, error) {
	for i, fee := range b.Extra.Carriage {
		if !(fee >= 0 && fee <= 1) {
			return nil, fmt.Errorf("extra.carriage[%d]: %v is not 0 to 1", i, fee)
		}
	}
	fees := b.Extra.Carriage
	if len(fees) > 0 && len(fees) != len(b.Zones) {
		return fees, fmt.Errorf("extra.carriage: %d fees for %d zones", len(fees), len(b.Zones))
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
		s.LongestReturn = Down(min(longest, b.Bounds.MaxRetryAfter))
	}
}

// kinds are as many as the longest of three lists tells of, one at least.
func (b *Boot) kinds() (all []choice.Kind) {
	for i := range max(1, len(b.MachineTypes), len(b.Extra.BundleMax), len(b.Extra.SeparateRoutes)) {
		k := choice.Kind{BundleMax: 1}
		if i < len(b.Extra.BundleMax) {
			k.BundleMax = max(1, b.Extra.BundleMax[i])
		}
		k.Apart = i < len(b.Extra.SeparateRoutes) && b.Extra.SeparateRoutes[i]
		all = append(all, k)
	}
	return all
}

// mostSenders bounds products with their number.
const mostSenders = 1 << 20

// checkNumbers refuses numbers that mean nothing. What is worth less than nothing would never be sent.
func (b *Boot) checkNumbers() error {
	type number struct {
		field string
		value float64
	}
	all := []number{
		{"balancers", float64(b.Balancers)}, {"quantum", float64(b.Quantum)}, {"overShareWorth", b.OverQuotaPriorityWeight},
		{"extra.callsOut", float64(b.Extra.CallsOut)}, {"extra.turnedAwayPrice", b.Extra.RejectedPrice},
		{"bounds.maxOpen", float64(b.Bounds.MaxOpen)}, {"bounds.maxAttempts", float64(b.Bounds.MaxAttempts)},
		{"bounds.maxRetryAfter", float64(b.Bounds.MaxRetryAfter)}, {"bounds.connIdle", float64(b.Bounds.ConnIdle)},
		{"bounds.dialTimeout", float64(b.Bounds.DialTimeout)}, {"deductions.handshake", b.Deductions.Handshake},
		{"rules.keyRest", float64(b.Rules.KeyRest)}, {"rules.cold", float64(b.Rules.SlowStart)}, {"rules.fall", float64(b.Rules.Fall)},
		{"rules.coldFrom", b.Rules.SlowStartFrom}, {"rules.fallMultiple", b.Rules.FallMultiple},
	}
	for i, c := range b.Classes {
		all = append(all, number{fmt.Sprintf("classes[%d].worth", i), c.PriorityWeight}, number{fmt.Sprintf("classes[%d].aim", i), float64(c.LatencyObjective)},
			number{fmt.Sprintf("classes[%d].repeatWindow", i), float64(c.RepeatWindow)})
	}
	for i, a := range b.Accounts {
		all = append(all, number{fmt.Sprintf("accounts[%d].quotaRps", i), a.QuotaRps})
	}
	for _, n := range all {
		if n.value < 0 {
			return fmt.Errorf("%s: %v is below 0", n.field, n.value)
		}
	}
	if b.Balancers > mostSenders {
		return fmt.Errorf("balancers: %d is above %d", b.Balancers, mostSenders)
	}
	return nil
}

// checkNames refuses names that stand for nothing or for two things. Any character may stand in one.
func (b *Boot) checkNames() error {
	classes, accounts := b.classNames(), b.accountNames()
	for i, name := range classes {
		if name == "" {
			return fmt.Errorf("classes[%d].name: missing", i)
		}
	}
	for i, name := range accounts {
		accounts[i] = cmp.Or(name, fmt.Sprint("without a name: ", i))
	}
	for _, list := range []struct {
		field string
		names []string
	}{{"accounts[%d].name", accounts}, {"classes[%d].name", classes}, {"zones[%d]", b.Zones}, {"machineTypes[%d]", b.MachineTypes}} {
		for i, name := range list.names {
			if first := slices.Index(list.names, name); first < i {
				return fmt.Errorf(list.field+": %q stands for "+list.field+" already", i, name, first)
			}
		}
	}
	return nil
}
