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
	// peersPrefix begins the keys under which gateways tell their addresses to each other.
	peersPrefix = "waxwingpick/gateway/"
	// peerGrace is how long a gateway counts whose entry is gone: entries lapse when the service is away, and are back soon
	// after it.
	peerGrace = 6 * time.Second
	// smallFleet is how many gateways tell each other load directly, of whatever zone: a digest is older by a hop, and so few
	// send few bytes.
	smallFleet = 8
	// maxPeers bounds the gateways that are known.
	maxPeers = 1024
)

// peer is another gateway.
type peer struct {
	addr string
	// zone is empty for a gateway that does not tell it.
	zone waxwingpick.AvailabilityZone
	// missing is when its entry was seen to be gone; zero where it is there.
	missing time.Time
}

// peers is the sink of the gateways' own entries.
type peers struct {
	process *Process
	addr    string
	// unlisted is called when the own entry is gone.
	unlisted func()

	mu    sync.Mutex
	known map[string]peer
	// shown is the number of gateways that was last logged.
	shown int
}

var _ sink = (*peers)(nil)

func newPeers(p *Process, addr string, unlisted func()) *peers {
	return &peers{
		process:  p,
		addr:     addr,
		unlisted: unlisted,
		known:    make(map[string]peer),
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
	keys := slices.Collect(maps.Keys(s.known))
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
	if _, ok := s.known[e.Key]; !ok && len(s.known) >= maxPeers {
		return
	}
	s.known[e.Key] = peer{
		addr: addr,
		zone: zoneOf(e.Key),
	}
}

func (s *peers) remove(key string) {
	if key == peerKey(s.process.options.Zone, s.process.options.Instance) {
		s.unlisted()
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if p, ok := s.known[key]; ok && p.missing.IsZero() {
		p.missing = s.process.timers.Now()
		s.known[key] = p
	}
}

func (s *peers) lost()          {}
func (s *peers) back(time.Time) {}

// changed tells of the number of gateways.
func (s *peers) changed() {
	s.expire(s.process.timers.Now())
}

// expire forgets the gateways whose entries did not come back.
func (s *peers) expire(now time.Time) {
	s.mu.Lock()
	maps.DeleteFunc(s.known, func(_ string, p peer) bool {
		return !p.missing.IsZero() && now.Sub(p.missing) > peerGrace
	})
	n := len(s.known)
	changed := n != s.shown
	s.shown = n
	s.mu.Unlock()
	s.process.setGateways(now, 1+n)
	if !changed {
		return
	}
	s.process.options.Metrics.Peers(n)
	s.process.log.WithFields(logrus.Fields{
		"gateways": n,
	}).Info("other gateways")
}

// count returns the number of other gateways.
func (s *peers) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.known)
}

// all returns the addresses of the other gateways.
func (s *peers) all() []string {
	return s.addrs(func(peer) bool { return true })
}

// small reports whether all gateways tell each other their load.
func (s *peers) small() bool {
	return s.count() < smallFleet
}

// told returns the addresses of those that are told the own load.
func (s *peers) told() []string {
	if s.small() {
		return s.all()
	}
	return s.near()
}

// near returns the addresses of those in the own availability zone.
func (s *peers) near() []string {
	return s.addrs(func(p peer) bool { return p.zone == s.process.options.Zone })
}

// zoneMembers are the gateways of one availability zone.
type zoneMembers struct {
	ids   []waxwingpick.InstanceID
	addrs map[waxwingpick.InstanceID]string
}

// far returns the gateways of the other availability zones.
func (s *peers) far() map[waxwingpick.AvailabilityZone]zoneMembers {
	s.mu.Lock()
	defer s.mu.Unlock()
	zones := make(map[waxwingpick.AvailabilityZone]zoneMembers)
	for key, p := range s.known {
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

func (s *peers) addrs(some func(p peer) bool) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var addrs []string
	for _, key := range slices.Sorted(maps.Keys(s.known)) {
		if p := s.known[key]; some(p) {
			addrs = append(addrs, p.addr)
		}
	}
	return addrs
}
