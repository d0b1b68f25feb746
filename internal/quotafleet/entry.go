package quotafleet

import (
	"time"

	"waxwingpick"
	"waxwingpick/core/quota"
)

// Entry is an entry with its view of the platform's list.
type Entry struct {
	id      waxwingpick.InstanceID
	checker *quota.Checker
	owner   *quota.Owner
	view    []waxwingpick.InstanceID
	// lastRequestFailed reports that the last finished token request got no response.
	lastRequestFailed bool
	offered           int
	admitted          int
}

// ID returns the entry's instance ID.
func (e *Entry) ID() waxwingpick.InstanceID { return e.id }

// Owner returns the reserves from which the entry grants tokens.
func (e *Entry) Owner() *quota.Owner { return e.owner }

// View returns the entries in this entry's list.
func (e *Entry) View() []waxwingpick.InstanceID { return e.view }

// LastRequestFailed reports whether the last finished token request got no response.
func (e *Entry) LastRequestFailed() bool { return e.lastRequestFailed }

// Offered returns the number of requests sent through the entry since the counts were reset.
func (e *Entry) Offered() int { return e.offered }

// Admitted returns the number of those requests that were admitted.
func (e *Entry) Admitted() int { return e.admitted }

// TrackedWorkspaces returns the number of workspaces that the entry tracks.
func (e *Entry) TrackedWorkspaces() int { return e.checker.Workspaces() }

// Owns reports whether the entry considers itself the owner of a workspace's rate. It checks to which owner a new checker
// with the entry's view sends its first token request.
func (e *Entry) Owns(workspace waxwingpick.WorkspaceID, limit quota.Limit) bool {
	c := newChecker()
	c.SetEntries(e.view, len(e.view))
	for {
		if v := c.Check(time.Time{}, workspace, limit); v.Due {
			return v.Request.Owner() == e.id
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
