package explainer_test

import (
	"strings"
	"testing"

	"github.com/oriolegw/oriolegw/internal/dispatcher"
	"github.com/oriolegw/oriolegw/internal/explainer"
	"github.com/shoenig/test/must"
)

const log = `
entry-1 ts=2026-12-02T10:00:00.000Z part=belief event=member member=i-1 group=g primary=true
entry-2 ts=2026-12-02T10:00:07.000Z part=duty event=observed group=g member=i-1 answered=true busy=19 connections=22
entry-2 ts=2026-12-02T10:00:07.100Z part=duty event=observed group=other member=i-9 answered=true
entry-1 ts=2026-12-02T10:00:07.400Z part=request of=statement id=77 outcome=refused reason=no-connection group=g primary=i-1 ms=600
a line of another program
entry-2 ts=2026-12-02T10:00:08.000Z part=duty event=move-begins group=g reason=primary-overloaded primary=i-1
entry-1 ts=2026-12-02T10:00:08.100Z part=served id=78 group=g member=i-2 outcome=done
entry-2 ts=2026-12-02T10:00:30.000Z part=duty event=observed group=g member=i-1
`

func TestExplain(t *testing.T) {
	x, err := explainer.Explain(strings.NewReader(log), "77")
	must.NoError(t, err)
	must.Len(t, 1, x.Request)
	must.Len(t, 1, x.Reasons)
	must.Eq(t, dispatcher.ReasonNoConnection, x.Reasons[0].Reason)
	must.Len(t, 2, x.Context)
	must.Eq(t, "observed", x.Context[0].Fields["event"])
	must.Eq(t, "move-begins", x.Context[1].Fields["event"])
	var out strings.Builder
	x.Write(&out)
	must.StrContains(t, out.String(), "connections=22")

	_, err = explainer.Explain(strings.NewReader(log), "none")
	must.ErrorIs(t, err, explainer.ErrRequestNotFound)
}
