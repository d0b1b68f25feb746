package mtls_test

import (
	"crypto/tls"
	"testing"

	"waxwingpick/core/timer"
	"waxwingpick/internal/standin/ca"
	"waxwingpick/io/mtls"
)

// BenchmarkConnect measures sequential connections with full and with resumed handshakes. Client and server run in this
// process, so the result includes the CPU time of both.
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
			var ends [2]*mtls.Credentials
			var files [2]mtls.Files
			for i, self := range []mtls.Identity{entry, sidecar} {
				if files[i], err = a.Write(b.TempDir(), "process", ca.SubjectOf(self)); err != nil {
					b.Fatal(err)
				}
				if ends[i], err = mtls.New(files[i], self, clock, discardLog()); err != nil {
					b.Fatal(err)
				}
			}
			addr := serve(b, ends[1].Listen(listen(b)))
			b.ReportAllocs()
			for b.Loop() {
				if !resume {
					b.StopTimer()
					ends[0], err = mtls.New(files[0], entry, clock, discardLog())
					if err != nil {
						b.Fatal(err)
					}
					b.StartTimer()
				}
				conn, err := ends[0].Connect(b.Context(), dial(b, addr), mtls.RoleSidecar)
				if err != nil {
					b.Fatal(err)
				}
				if err := checkEcho(conn); err != nil {
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
