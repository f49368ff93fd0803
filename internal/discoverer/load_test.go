package discoverer_test

import (
	"testing"
	"time"

	"github.com/oriolegw/oriolegw/internal/discoverer"
	"github.com/shoenig/test/must"
)

// Loads that are invalid, unknown or of unknown age must not replace a peer's last known load.
func TestInvalidLoadsAreDropped(t *testing.T) {
	d, p := newDiscoverer(), peer("p", "a")
	p.LoadMilli = 300
	d.RecordContact(time.Hour, p)
	for _, load := range []int{0, -5, discoverer.MaxLoadMilli + 1} {
		p.LoadMilli = load
		d.RecordContact(time.Hour+time.Second, p)
	}
	p.LoadMilli = 900
	d.RecordListed(time.Hour+time.Second, p)
	milli, at := d.Load("p")
	must.Eq(t, 300, milli)
	must.Eq(t, time.Hour, at)
	must.Eq(t, 0, d.InZone(time.Hour, "a")[1].LoadMilli) // or each change of a load would rank the holders again
}
