package plan

import "time"

// Settings are the tuned values. The hold, the returns and the coarse grain are from the table of issue 36 (back 15 s
// after a zone is well, three changes in a minute of a flapping link, a plan in force after 3 s), tried on the traces
// of this package; SlowStartFrom, SlowStart and FallMultiple are the service's, as package choice has them.
type Settings struct {
	Hold          time.Duration // for how long a plan holds unheard of
	Steps         []float64     // of a return: which part goes near
	StepFor       time.Duration // each at least, and gone well
	Calm          time.Duration // the shortest hold of a return, and the shortest time between two turns
	MostCalm      time.Duration // of one outage, however long; only turns make it longer
	LongestCalm   time.Duration
	OutagePart    float64       // of an outage's length: how long near must be well before a return
	TurnsFor      time.Duration // turns so long ago still double the hold
	Blind         time.Duration // a return that is due is tried unseen after so long without news
	TestRate      float64       // calls a second that keep trying near while away, from one zone
	LeastTest     float64       // as a part; and at most, where few calls are made
	MostTest      float64
	Coarse        float64       // shares that differ by less are not worth a plan
	Gap           time.Duration // between two plans
	CalmGap       time.Duration // before one in which no route turns or steps, and none leaves what fails: shares alone
	RoomPart      float64       // of what a place can do: as far as it is filled
	SeenMultiple  float64       // what a place may do that refused nothing, where only what was done is known
	RatingIsRate  bool          // the list's ratings are calls a second
	SlowStartFrom float64       // part that a cold place can do at first
	SlowStart     time.Duration // until it can do all
	FallMultiple  float64       // times what it can do: that fells it
}

// Usual are the values in use; the service's own are for the caller to set.
func Usual() Settings {
	return Settings{Hold: 10 * time.Second, Steps: []float64{0.05, 0.15, 0.4, 1}, StepFor: 1500 * time.Millisecond,
		Calm: 3 * time.Second, MostCalm: 6 * time.Second, LongestCalm: time.Minute, OutagePart: 0.25,
		TurnsFor: 2 * time.Minute, Blind: 12 * time.Second, TestRate: 2, LeastTest: 0.01, MostTest: 0.05,
		Coarse: 0.1, Gap: time.Second, CalmGap: 4 * time.Second,
		RoomPart: 0.95, SeenMultiple: 2, SlowStartFrom: 0.2, SlowStart: 10 * time.Second, FallMultiple: 2}
}
