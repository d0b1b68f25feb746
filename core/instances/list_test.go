package instances_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/core/instances"
)

var (
	start = time.Unix(5000, 0)
	by    = time.Unix(9000, 0).UTC()
)

func staying(id string) waxwingpick.Instance {
	return waxwingpick.Instance{
		ID:      waxwingpick.InstanceID(id),
		Kind:    waxwingpick.KindTarget,
		Control: "127.0.0.1:1",
	}
}

func leaving(id string) waxwingpick.Instance {
	i := staying(id)
	i.Leaving = true
	i.LeaveBy = by
	return i
}

func otherAddress(id string) waxwingpick.Instance {
	i := staying(id)
	i.Control = "127.0.0.1:2"
	return i
}

func listOf(t *testing.T, rows ...waxwingpick.Instance) *instances.List {
	l := instances.NewList()
	require.True(t, l.Read(start, start, rows))
	return l
}

func TestLeaveIsRetainedDespiteLaggingLists(t *testing.T) {
	type read struct {
		after time.Duration
		rows  []waxwingpick.Instance
	}
	const hold = instances.LeaveHold
	at := func(after time.Duration, rows ...waxwingpick.Instance) read {
		return read{
			after: after,
			rows:  rows,
		}
	}
	for _, c := range []struct {
		name  string
		reads []read
		want  bool
	}{
		{name: "never listed as leaving", reads: []read{at(0, staying("a"))}},
		{name: "leaving", reads: []read{at(0, leaving("a"))}, want: true},
		{name: "an older list arrives later", reads: []read{at(0, leaving("a")), at(time.Second, staying("a"))}, want: true},
		{name: "lists alternate", reads: []read{at(0, leaving("a")), at(hold-1, staying("a")), at(hold-1, leaving("a")), at(hold-1, staying("a"))}, want: true},
		{name: "withdrawn for longer than LeaveHold", reads: []read{at(0, leaving("a")), at(time.Second, staying("a")), at(hold, staying("a"))}},
		{name: "replaced by another process", reads: []read{at(0, leaving("a")), at(time.Second, otherAddress("a"))}},
		{name: "removed and added again", reads: []read{at(0, leaving("a")), at(time.Second), at(time.Second, staying("a"))}},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, now := listOf(t), start
			for _, r := range c.reads {
				now = now.Add(r.after + 1)
				l.Read(now, now, r.rows)
				l.Expire(now)
			}
			require.Len(t, l.Instances(), 1)
			require.Equal(t, c.want, l.Instances()[0].Leaving)
			if c.want {
				require.Equal(t, by, l.Instances()[0].LeaveBy)
			}
		})
	}
}

func TestChangesResultInSameList(t *testing.T) {
	now := start.Add(2 * time.Second)
	first := []waxwingpick.Instance{staying("a"), staying("b"), staying("c")}
	newest := []waxwingpick.Instance{leaving("c"), staying("d"), otherAddress("a"), staying("a")}
	for _, c := range []struct {
		name string
		held []waxwingpick.Instance
		rows int
		// whole is set if the complete list is expected.
		whole  bool
		damage func(c *waxwingpick.ListChanges)
		fails  bool
	}{
		{name: "changed rows only", held: first, rows: 2},
		{name: "base not among the kept versions", held: []waxwingpick.Instance{staying("x")}, rows: 3, whole: true},
		{name: "row lost", held: first, rows: 2, damage: func(c *waxwingpick.ListChanges) { c.Rows = c.Rows[1:] }, fails: true},
		{name: "removal lost", held: first, rows: 2, damage: func(c *waxwingpick.ListChanges) { c.Removed = nil }, fails: true},
		{name: "another base", held: first, rows: 2, damage: func(c *waxwingpick.ListChanges) { c.Base++ }, fails: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			sender, receiver := listOf(t, first...), listOf(t, c.held...)
			require.True(t, sender.Read(start.Add(time.Second), now, newest))
			status := sender.Status(now)
			changes, ok := sender.Changes(now, receiver.Status(now))
			require.True(t, ok)
			require.Equal(t, c.whole, changes.Complete)
			require.Len(t, changes.Rows, c.rows)
			require.Less(t, slices.IndexFunc(changes.Rows, func(i waxwingpick.Instance) bool { return i.ID == "b" }), 0)
			if c.damage != nil {
				c.damage(&changes)
			}
			before := receiver.Instances()
			changed, err := receiver.Apply(now, now, status, &changes)
			if c.fails {
				require.ErrorIs(t, err, instances.ErrMismatch)
				require.Equal(t, before, receiver.Instances())
				return
			}
			require.NoError(t, err)
			require.True(t, changed)
			require.Equal(t, sender.Instances(), receiver.Instances())
			require.Equal(t, sender.ReadAt(), receiver.ReadAt())
			_, ok = sender.Changes(now, receiver.Status(now))
			require.False(t, ok)
		})
	}
}

func TestEntryReadsAgainShortlyAfterStart(t *testing.T) {
	self := staying("self")
	self.Kind = waxwingpick.KindEntry
	rows := []waxwingpick.Instance{self}
	for i := range 44 {
		other := self
		other.ID = waxwingpick.InstanceID(fmt.Sprint("entry-", i))
		rows = append(rows, other)
	}
	l := listOf(t, rows...)
	s := instances.NewSchedule(self, rand.New(rand.NewPCG(1, 1)))
	s.Succeeded(start, l)
	require.LessOrEqual(t, s.Next(l).Sub(start), time.Second/2)
	for range 10 {
		s.Succeeded(start, l)
	}
	require.GreaterOrEqual(t, s.Next(l).Sub(start), instances.StaleAfter, "after warm-up only regular reads and the age of the list lead to a read")
}
