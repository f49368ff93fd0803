package exchanger_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/oriolegw/oriolegw/platform"
	"github.com/shoenig/test/must"
)

// Instances that disagree about the tree may follow each other in a circle, where each confirms an
// old state to the next. They must notice and read the store themselves, or no change reaches them.
func TestCircleReadsStore(t *testing.T) {
	for _, instances := range []int{2, 3, 5} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				f := newScaleFleet(ctx, instances, 1)
				for n, x := range f.nodes {
					x.zone, x.parent = "a", f.nodes[(n+1)%instances].ip+":7100"
				}
				for _, x := range f.nodes {
					f.start(ctx, x)
				}
				time.Sleep(20 * time.Second)
				for version := int64(2); version < 5; version++ {
					f.put(ctx, platform.ConfigurationKey, f.document(version))
					time.Sleep(8 * time.Second)
					for _, x := range f.nodes {
						x.mutex.Lock()
						must.MapContainsKey(t, x.versions, version, must.Sprint(x.name))
						x.mutex.Unlock()
					}
				}
				for _, x := range f.nodes {
					x.stop()
				}
				cancel()
				for _, x := range f.nodes {
					for range cap(x.ended) {
						<-x.ended
					}
				}
				synctest.Wait()
			})
		})
	}
}
