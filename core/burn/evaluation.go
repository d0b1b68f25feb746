package burn

import (
	"cmp"
	"slices"
	"time"

	"waxwingpick"
	"waxwingpick/core/config"
)

const (
	// pageBurn consumes 2% of a 30-day error budget in one hour, ticketBurn 5% in six hours.
	pageBurn   = 14.4
	ticketBurn = 6
	// minBad is the minimum number of bad responses in the longer window for an alert.
	minBad = 3

	topBurners = 10
)

// Alert is the severity of the burn rate of a class.
type Alert string

// The alerts in order of increasing severity.
const (
	AlertNone   Alert = "none"
	AlertTicket Alert = "ticket"
	AlertPage   Alert = "page"
)

// Rates holds the burn rates of the windows. A rate of 1 consumes the error budget exactly in its period.
type Rates struct {
	FiveMinutes   float64 `json:"fiveMinutes"`
	ThirtyMinutes float64 `json:"thirtyMinutes"`
	OneHour       float64 `json:"oneHour"`
	SixHours      float64 `json:"sixHours"`
}

// ClassBurn holds the burn rates of a class.
type ClassBurn struct {
	Class     waxwingpick.Class `json:"class"`
	Objective float64           `json:"objective"`
	Rates     Rates             `json:"rates"`
	SixHours  Counts            `json:"sixHours"`
	Alert     Alert             `json:"alert"`
	Points    []Point           `json:"points,omitempty"`
}

// Burner is a preset, target or workspace with bad responses in the last hour.
type Burner struct {
	Key SeriesKey `json:"key"`
	// OneHour holds its counts. Those of targets and workspaces start with their first bad response.
	OneHour Counts `json:"oneHour"`
	// Share is its fraction of the class's bad responses in the last hour.
	Share float64 `json:"share"`
}

// Evaluation is the state of all objectives.
type Evaluation struct {
	At      time.Time   `json:"at"`
	Alert   Alert       `json:"alert"`
	Classes []ClassBurn `json:"classes"`
	Burners []Burner    `json:"burners"`
}

// Evaluate compares a snapshot with the objectives in the policies. Classes without an objective are left out.
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
		if class.Alert.severity() > evaluation.Alert.severity() {
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

// burners returns the series with the most bad responses of each dimension, in descending order.
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
	var first []Burner
	numNames := make(map[Dimension]int)
	for _, b := range sorted {
		if numNames[b.Key.Dimension] < count {
			numNames[b.Key.Dimension]++
			first = append(first, b)
		}
	}
	return first
}

// severity returns the rank of an alert.
func (a Alert) severity() int {
	return slices.Index([]Alert{AlertNone, AlertTicket, AlertPage}, a)
}
