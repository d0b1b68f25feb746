package burn

import (
	"cmp"
	"slices"
	"time"

	"waxwingpick"
	"waxwingpick/core/config"
)

const (
	// pageBurn uses up 2% of a 30-day budget in an hour, ticketBurn 5% in six.
	pageBurn   = 14.4
	ticketBurn = 6
	// minBad is the number of bad answers in the long window below which nothing alerts.
	minBad = 3

	topBurners = 10
)

// Alert tells how urgently a class burns its error budget.
type Alert string

// The alerts, least urgent first.
const (
	AlertNone   Alert = "none"
	AlertTicket Alert = "ticket"
	AlertPage   Alert = "page"
)

// Rates holds the burn rates of the windows: 1 uses up the error budget exactly over its period.
type Rates struct {
	FiveMinutes   float64 `json:"fiveMinutes"`
	ThirtyMinutes float64 `json:"thirtyMinutes"`
	OneHour       float64 `json:"oneHour"`
	SixHours      float64 `json:"sixHours"`
}

// ClassBurn is how fast a class burns its error budget.
type ClassBurn struct {
	Class     waxwingpick.Class `json:"class"`
	Objective float64           `json:"objective"`
	Rates     Rates             `json:"rates"`
	SixHours  Counts            `json:"sixHours"`
	Alert     Alert             `json:"alert"`
	Points    []Point           `json:"points,omitempty"`
}

// Burner is a preset, target or workspace with bad answers in the last hour.
type Burner struct {
	Key SeriesKey `json:"key"`
	// OneHour holds its counts; those of targets and workspaces start with their first bad answer.
	OneHour Counts `json:"oneHour"`
	// Share is its part of the class's bad answers in the last hour.
	Share float64 `json:"share"`
}

// Evaluation is how the objectives stand.
type Evaluation struct {
	At      time.Time   `json:"at"`
	Alert   Alert       `json:"alert"`
	Classes []ClassBurn `json:"classes"`
	Burners []Burner    `json:"burners"`
}

// Evaluate holds a snapshot against the objectives of the preset in force; classes without an objective are left out.
func Evaluate(snapshot Snapshot, policies []config.ClassPolicy) Evaluation {
	evaluation := Evaluation{
		At:    snapshot.At,
		Alert: AlertNone,
	}
	totals := make(map[waxwingpick.Class]Series)
	for _, s := range snapshot.Series {
		if s.Key.Dimension == DimensionClass {
			totals[s.Key.Class] = s
		}
	}
	for _, policy := range policies {
		if policy.Objective <= 0 || policy.Objective >= 1 {
			continue
		}
		class := evaluateClass(policy, totals[policy.Class])
		if class.Alert.urgency() > evaluation.Alert.urgency() {
			evaluation.Alert = class.Alert
		}
		evaluation.Classes = append(evaluation.Classes, class)
	}
	evaluation.Burners = burners(snapshot, totals)
	return evaluation
}

func evaluateClass(policy config.ClassPolicy, total Series) ClassBurn {
	w := total.Windows
	rate := func(c Counts) float64 {
		return c.BadFraction() / (1 - policy.Objective)
	}
	class := ClassBurn{
		Class:     policy.Class,
		Objective: policy.Objective,
		Rates: Rates{
			FiveMinutes:   rate(w.FiveMinutes),
			ThirtyMinutes: rate(w.ThirtyMinutes),
			OneHour:       rate(w.OneHour),
			SixHours:      rate(w.SixHours),
		},
		SixHours: w.SixHours,
		Alert:    AlertNone,
		Points:   total.Points,
	}
	switch {
	case class.Rates.FiveMinutes >= pageBurn && class.Rates.OneHour >= pageBurn && w.OneHour.Bad >= minBad:
		class.Alert = AlertPage
	case class.Rates.ThirtyMinutes >= ticketBurn && class.Rates.SixHours >= ticketBurn && w.SixHours.Bad >= minBad:
		class.Alert = AlertTicket
	}
	return class
}

// burners returns those with the most bad answers of each dimension, most first.
func burners(snapshot Snapshot, totals map[waxwingpick.Class]Series) []Burner {
	var all []Burner
	for _, s := range snapshot.Series {
		bad := s.Windows.OneHour.Bad
		if s.Key.Dimension == DimensionClass || bad == 0 {
			continue
		}
		all = append(all, Burner{
			Key:     s.Key,
			OneHour: s.Windows.OneHour,
			Share:   float64(bad) / float64(max(bad, totals[s.Key.Class].Windows.OneHour.Bad)),
		})
	}
	slices.SortFunc(all, func(a, b Burner) int {
		return cmp.Or(
			cmp.Compare(a.Key.Dimension, b.Key.Dimension),
			cmp.Compare(b.OneHour.Bad, a.OneHour.Bad),
			a.Key.compare(b.Key),
		)
	})
	return firstOfEach(all, topBurners)
}

func firstOfEach(sorted []Burner, count int) []Burner {
	var kept []Burner
	taken := make(map[Dimension]int)
	for _, b := range sorted {
		if taken[b.Key.Dimension] < count {
			taken[b.Key.Dimension]++
			kept = append(kept, b)
		}
	}
	return kept
}

// urgency orders alerts.
func (a Alert) urgency() int {
	return slices.Index([]Alert{AlertNone, AlertTicket, AlertPage}, a)
}
