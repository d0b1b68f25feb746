package quotafleet

import (
	"time"

	"waxwingpick"
	"waxwingpick/core/quota"
)

// Entry is one entry with its view of the platform's list.
type Entry struct {
	id      waxwingpick.InstanceID
	checker *quota.Checker
	owner   *quota.Owner
	view    []waxwingpick.InstanceID
	// alone says that the last ask that ended was not answered.
	alone    bool
	offered  int
	admitted int
}

// ID returns the entry's name.
func (e *Entry) ID() waxwingpick.InstanceID { return e.id }

// Owner returns the reserves that the entry grants from.
func (e *Entry) Owner() *quota.Owner { return e.owner }

// View returns the entries on the list that the entry holds.
func (e *Entry) View() []waxwingpick.InstanceID { return e.view }

// Alone reports whether the last ask that ended was not answered.
func (e *Entry) Alone() bool { return e.alone }

// Offered returns the number of requests that came through the entry since the counts were reset.
func (e *Entry) Offered() int { return e.offered }

// Admitted returns how many of them were admitted.
func (e *Entry) Admitted() int { return e.admitted }

// Held returns the number of workspaces that the entry remembers.
func (e *Entry) Held() int { return e.checker.Held() }

// Owns reports whether the entry takes itself for the owner of a workspace's rate, by what a new one with its view asks.
func (e *Entry) Owns(workspace waxwingpick.WorkspaceID, limit quota.Limit) bool {
	c := newChecker()
	c.SetEntries(e.view, len(e.view))
	for {
		if v := c.Check(time.Time{}, workspace, limit); v.Due {
			return v.Ask.Owner() == e.id
		}
	}
}

func newChecker() *quota.Checker {
	c, err := quota.NewChecker()
	if err != nil {
		panic(err)
	}
	return c
}

func newOwner(id waxwingpick.InstanceID) *quota.Owner {
	o, err := quota.NewOwner(id)
	if err != nil {
		panic(err)
	}
	return o
}
