package gateway

import (
	"maps"
	"path"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"waxwingpick"
)

const (
	// peersPrefix begins the keys under which gateways register their addresses.
	peersPrefix = "waxwingpick/gateway/"
	// peerGracePeriod is how long a gateway stays in the list after its entry is removed. Entries expire during an
	// outage of the key-value service and are written again soon after it.
	peerGracePeriod = 6 * time.Second
	// smallFleet is the maximum number of gateways that all send each other their load directly, across zones. A digest
	// would arrive one hop later, and so few gateways send few bytes.
	smallFleet = 8
	// maxPeers bounds the gateways that are tracked.
	maxPeers = 1024
)

// peer is another gateway.
type peer struct {
	addr string
	// zone is empty for a gateway whose key does not name one.
	zone waxwingpick.AvailabilityZone
	// removedAt is when its entry was removed; zero while it is listed.
	removedAt time.Time
}

// peers is the sink of the entries that gateways register.
type peers struct {
	process *Process
	addr    string
	// onUnlisted is called when this process's entry is removed.
	onUnlisted func()

	mu       sync.Mutex
	gateways map[string]peer
	// loggedCount is the number of gateways that was last logged.
	loggedCount int
}

var _ sink = (*peers)(nil)

func newPeers(p *Process, addr string, onUnlisted func()) *peers {
	return &peers{
		process:    p,
		addr:       addr,
		onUnlisted: onUnlisted,
		gateways:   make(map[string]peer),
	}
}

// peerKey is the key of a gateway's entry, whose value is its address.
func peerKey(zone waxwingpick.AvailabilityZone, id waxwingpick.InstanceID) string {
	return peersPrefix + string(zone) + "/" + string(id)
}

// zoneOf returns the availability zone that a gateway's key names.
func zoneOf(key string) waxwingpick.AvailabilityZone {
	zone, _, ok := strings.Cut(strings.TrimPrefix(key, peersPrefix), "/")
	if !ok {
		return ""
	}
	return waxwingpick.AvailabilityZone(zone)
}

func (s *peers) prefix() string { return peersPrefix }

func (s *peers) replace(entries []waxwingpick.Entry) {
	listed := waxwingpick.NewSet[string]()
	for _, e := range entries {
		listed.Add(e.Key)
		s.put(e)
	}
	s.mu.Lock()
	keys := slices.Collect(maps.Keys(s.gateways))
	s.mu.Unlock()
	for _, key := range keys {
		if !listed.Has(key) {
			s.remove(key)
		}
	}
}

func (s *peers) put(e waxwingpick.Entry) {
	addr := string(e.Value)
	if addr == s.addr {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	putBounded(s.gateways, maxPeers, e.Key, peer{
		addr: addr,
		zone: zoneOf(e.Key),
	})
}

func (s *peers) remove(key string) {
	if key == peerKey(s.process.options.Zone, s.process.options.Instance) {
		s.onUnlisted()
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if p, ok := s.gateways[key]; ok && p.removedAt.IsZero() {
		p.removedAt = s.process.timers.Now()
		s.gateways[key] = p
	}
}

func (s *peers) batchBegins(origin)  {}
func (s *peers) serviceDown()        {}
func (s *peers) serviceUp(time.Time) {}

// batchApplied updates the number of gateways.
func (s *peers) batchApplied() {
	s.expire(s.process.timers.Now())
}

// expire removes the gateways whose entries were not written again within the grace period.
func (s *peers) expire(now time.Time) {
	s.mu.Lock()
	maps.DeleteFunc(s.gateways, func(_ string, p peer) bool {
		return !p.removedAt.IsZero() && now.Sub(p.removedAt) > peerGracePeriod
	})
	n := len(s.gateways)
	changed := n != s.loggedCount
	s.loggedCount = n
	s.mu.Unlock()
	s.process.setGateways(now, 1+n)
	s.process.statements.setProcesses(now, s.ids())
	if !changed {
		return
	}
	s.process.options.Metrics.Peers(n)
	s.process.log.WithFields(logrus.Fields{
		"gateways": n,
	}).Info("number of other gateways changed")
}

// count returns the number of other gateways.
func (s *peers) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.gateways)
}

// ids returns the other gateways.
func (s *peers) ids() []waxwingpick.InstanceID {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := make([]waxwingpick.InstanceID, 0, len(s.gateways))
	for key := range s.gateways {
		ids = append(ids, waxwingpick.InstanceID(path.Base(key)))
	}
	return ids
}

// addrOf returns the address of another gateway; none if it is not listed.
func (s *peers) addrOf(id waxwingpick.InstanceID) waxwingpick.Option[string] {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, p := range s.gateways {
		if strings.HasSuffix(key, "/"+string(id)) {
			return waxwingpick.Some(p.addr)
		}
	}
	return waxwingpick.None[string]()
}

// all returns the addresses of the other gateways.
func (s *peers) all() []string {
	return s.addrs(func(peer) bool { return true })
}

// small reports whether the fleet is small enough for all gateways to send each other their load.
func (s *peers) small() bool {
	return s.count() < smallFleet
}

// summaryReceivers returns the addresses of the gateways that receive this process's load.
func (s *peers) summaryReceivers() []string {
	if s.small() {
		return s.all()
	}
	return s.sameZone()
}

// sameZone returns the addresses of the gateways in this process's availability zone.
func (s *peers) sameZone() []string {
	return s.addrs(func(p peer) bool { return p.zone == s.process.options.Zone })
}

// sameZoneIDs returns the other gateways in this process's availability zone.
func (s *peers) sameZoneIDs() []waxwingpick.InstanceID {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ids []waxwingpick.InstanceID
	for key, p := range s.gateways {
		if p.zone == s.process.options.Zone {
			ids = append(ids, waxwingpick.InstanceID(path.Base(key)))
		}
	}
	return ids
}

// zoneMembers are the gateways of one availability zone.
type zoneMembers struct {
	ids   []waxwingpick.InstanceID
	addrs map[waxwingpick.InstanceID]string
}

// otherZones returns the gateways of the other availability zones.
func (s *peers) otherZones() map[waxwingpick.AvailabilityZone]zoneMembers {
	s.mu.Lock()
	defer s.mu.Unlock()
	zones := make(map[waxwingpick.AvailabilityZone]zoneMembers)
	for key, p := range s.gateways {
		if p.zone == "" || p.zone == s.process.options.Zone {
			continue
		}
		z, ok := zones[p.zone]
		if !ok {
			z.addrs = make(map[waxwingpick.InstanceID]string)
		}
		id := waxwingpick.InstanceID(path.Base(key))
		z.ids = append(z.ids, id)
		z.addrs[id] = p.addr
		zones[p.zone] = z
	}
	return zones
}

func (s *peers) addrs(include func(p peer) bool) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var addrs []string
	for _, key := range slices.Sorted(maps.Keys(s.gateways)) {
		if p := s.gateways[key]; include(p) {
			addrs = append(addrs, p.addr)
		}
	}
	return addrs
}
