package runner_test

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/oriolegw/oriolegw/internal/loader"
	"github.com/oriolegw/oriolegw/internal/standin/stager"
	"github.com/shoenig/test/must"
)

// The status page shows a group's open connections and the instance's share.
func TestStatusShowsConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		s, err := stager.Start(ctx, stager.Plan{
			Settings: func(l *loader.Settings) { l.StatusAddress = strings.Replace(l.Callers, ":5432", ":7200", 1) },
		})
		must.NoError(t, err)
		defer s.Close()
		must.NoError(t, s.AwaitReady(ctx))
		time.Sleep(2 * time.Second)
		operator := s.Network.Host("10.0.9.2", "callers")
		c := &http.Client{Transport: &http.Transport{
			DisableKeepAlives: true,
			DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
				return operator.Dial(ctx, address)
			},
		}}
		r, err := c.Get("http://" + s.Instances[0].IP + ":7200/status")
		must.NoError(t, err)
		defer r.Body.Close()
		var page struct {
			Groups []struct{ Connections, Share int }
		}
		must.NoError(t, json.NewDecoder(r.Body).Decode(&page))
		must.Len(t, 1, page.Groups)
		must.Positive(t, page.Groups[0].Connections)
		must.GreaterEq(t, page.Groups[0].Connections, page.Groups[0].Share)
	})
}
