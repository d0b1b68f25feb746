package gateway

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"waxwingpick"
	"waxwingpick/core/placement"
)

// speedKind is the first byte of a message with what targets stated about their speed.
const speedKind = 0x0a

// speedMessage is what gateways tell each other about the speed of targets. Former versions of the program ignore it.
type speedMessage struct {
	_        struct{} `cbor:",toarray"`
	From     waxwingpick.InstanceID
	Zone     waxwingpick.AvailabilityZone
	Services map[waxwingpick.ServiceName][]placement.StatedSpeed
}

// sendSpeeds sends what engines stated since the last message to other gateways, without figures of the excluded origin.
func (g *gossip) sendSpeeds(now, since time.Time, peers []string, excluded placement.Origin) {
	if len(peers) == 0 {
		return
	}
	services := make(map[waxwingpick.ServiceName][]placement.StatedSpeed)
	for _, s := range g.process.allServices() {
		if stated := s.statedSince(now, since, excluded); len(stated) > 0 {
			services[s.name] = stated
		}
	}
	if len(services) == 0 {
		return
	}
	g.sendKind(speedKind, speedMessage{
		From:     g.process.options.Instance,
		Zone:     g.process.options.Zone,
		Services: services,
	}, peers...)
}

// receiveSpeeds applies the message of another gateway; one that cannot be decoded is dropped.
func (g *gossip) receiveSpeeds(now time.Time, encoded []byte) {
	var m speedMessage
	if cbor.Unmarshal(encoded, &m) != nil || m.From == g.process.options.Instance {
		return
	}
	from := placement.OriginRemote
	if m.Zone == g.process.options.Zone {
		from = placement.OriginZone
	}
	for name, stated := range m.Services {
		if s := g.process.service(name); s != nil {
			s.applyStated(now, from, stated)
		}
	}
}
