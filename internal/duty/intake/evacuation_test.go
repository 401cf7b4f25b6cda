package intake

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/lentilwinch/lentilwinch/internal/keylease"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

func evacuated(domain string, version int64) port.EvacuationChange {
	return port.EvacuationChange{Domain: domain, Evacuated: true, Version: version}
}

// Guards against an evacuation that is lost with a new, an older or an unusable
// configuration, that is applied out of order, or that a complete reading doesn't end
// although its removal was missed.
func TestEvacuationsFollowTheReadings(t *testing.T) {
	in := New(Deps{Log: zap.NewNop(), KeyPolicy: func() keylease.Policy { return keylease.Policy{} }, Now: func() time.Duration { return 0 }})
	config := func(version int64) *work.Config { return &work.Config{Version: version} }
	for _, step := range []struct {
		name    string
		reading port.ConfigReading
		want    map[string]int64
	}{
		{"before any configuration", port.ConfigReading{Complete: true, Evacuations: []port.EvacuationChange{evacuated("a", 3)}, Unusable: true}, map[string]int64{"a": 3}},
		{"first configuration", port.ConfigReading{Config: config(5)}, map[string]int64{"a": 3}},
		{"added", port.ConfigReading{Evacuations: []port.EvacuationChange{evacuated("b", 7)}}, map[string]int64{"a": 3, "b": 7}},
		{"nothing new", port.ConfigReading{}, map[string]int64{"a": 3, "b": 7}},
		{"with a new configuration", port.ConfigReading{Config: config(6), Evacuations: []port.EvacuationChange{evacuated("c", 8)}}, map[string]int64{"a": 3, "b": 7, "c": 8}},
		{"with an older configuration", port.ConfigReading{Config: config(4), Evacuations: []port.EvacuationChange{{Domain: "c", Version: 9}}}, map[string]int64{"a": 3, "b": 7}},
		{"evacuated and restored at once", port.ConfigReading{Evacuations: []port.EvacuationChange{evacuated("d", 10), {Domain: "d", Version: 11}}}, map[string]int64{"a": 3, "b": 7}},
		{"restored and evacuated at once", port.ConfigReading{Evacuations: []port.EvacuationChange{{Domain: "a", Version: 12}, evacuated("a", 13)}}, map[string]int64{"a": 13, "b": 7}},
		{"complete after a gap", port.ConfigReading{Complete: true, Evacuations: []port.EvacuationChange{evacuated("b", 7)}}, map[string]int64{"b": 7}},
		{"complete without any", port.ConfigReading{Complete: true}, map[string]int64{}},
	} {
		in.ApplyReading(step.reading, 0)
		must.MapEq(t, step.want, in.Evacuation().Domains, must.Sprint(step.name))
	}
}

// Guards against an evacuation that ends with a failed reading, and against a reading that
// counts as recent although its answer came late.
func TestFailedReadingKeepsTheEvacuations(t *testing.T) {
	in := New(Deps{Log: zap.NewNop(), KeyPolicy: func() keylease.Policy { return keylease.Policy{} }, Now: func() time.Duration { return 0 }})
	in.ApplyReading(port.ConfigReading{Complete: true, Evacuations: []port.EvacuationChange{evacuated("a", 3)}}, 5*time.Second)
	in.ReadingFailed(7 * time.Second)
	must.MapEq(t, map[string]int64{"a": 3}, in.Evacuation().Domains)
	in.ReadingFailed(8 * time.Second)
	must.EqOp(t, 8*time.Second, in.Evacuation().FailedAt)
	must.EqOp(t, 7*time.Second, in.Evacuation().FailingSince)
	in.ApplyReading(port.ConfigReading{}, 4*time.Second)
	must.EqOp(t, 5*time.Second, in.Evacuation().ReadAt)
	must.EqOp(t, 0, in.Evacuation().FailedAt)
}

// Guards against starts by evacuations from before a suspension: the first reading after it
// may fail on a connection that was closed meanwhile, which tells of no outage.
func TestFailureAfterASuspensionBeginsAnew(t *testing.T) {
	in := New(Deps{Log: zap.NewNop(), KeyPolicy: func() keylease.Policy { return keylease.Policy{} }, Now: func() time.Duration { return 0 }})
	in.ApplyReading(port.ConfigReading{Complete: true}, time.Second)
	in.ReadingFailed(2 * time.Second)
	in.ReadingFailed(5 * time.Second)
	must.EqOp(t, 2*time.Second, in.Evacuation().FailingSince)
	in.ReadingFailed(25 * time.Second)
	must.EqOp(t, 25*time.Second, in.Evacuation().FailingSince)
}
