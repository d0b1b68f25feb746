package mtls_test

import (
	"crypto/tls"
	"testing"

	"waxwingpick/core/timer"
	"waxwingpick/internal/standin/ca"
	"waxwingpick/io/mtls"
)

// BenchmarkConnect makes connections one after the other, both ends in this process: the processor time of a full
// handshake and of a resumed one.
func BenchmarkConnect(b *testing.B) {
	for name, resume := range map[string]bool{
		"full":    false,
		"resumed": true,
	} {
		b.Run(name, func(b *testing.B) {
			a, err := ca.New(start)
			if err != nil {
				b.Fatal(err)
			}
			clock := timer.NewManual(start)
			var both [2]*mtls.Credentials
			var files [2]mtls.Files
			for i, self := range []mtls.Identity{entry, side} {
				if files[i], err = a.Write(b.TempDir(), "process", ca.HolderOf(self)); err != nil {
					b.Fatal(err)
				}
				if both[i], err = mtls.New(files[i], self, clock, quietly()); err != nil {
					b.Fatal(err)
				}
			}
			addr := serve(b, both[1].Listen(listen(b)))
			b.ReportAllocs()
			for b.Loop() {
				if !resume {
					b.StopTimer()
					both[0], err = mtls.New(files[0], entry, clock, quietly())
					if err != nil {
						b.Fatal(err)
					}
					b.StartTimer()
				}
				conn, err := both[0].Connect(b.Context(), dial(b, addr), mtls.RoleSidecar)
				if err != nil {
					b.Fatal(err)
				}
				if err := echoes(conn); err != nil {
					b.Fatal(err)
				}
				if conn.(*tls.Conn).ConnectionState().DidResume {
					b.ReportMetric(1, "resumed")
				}
				conn.Close()
			}
		})
	}
}
