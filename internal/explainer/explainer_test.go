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

const limitLog = `
entry-1 ts=2026-12-02T10:00:00.000Z part=request of=statement id=1 outcome=refused reason=over-limit again-ms=180 customer=c3 group=g reserved=true limit-waited-ms=0 per-second=22 burst=22 used-here=14 leased-here=0 withheld=0.125 cause=withheld
entry-1 ts=2026-12-02T10:00:20.000Z part=request of=statement id=2 outcome=refused reason=over-limit again-ms=180 customer=c3 group=g
entry-2 ts=2026-12-02T10:00:19.990Z part=peers event=over-limit customer=c4 group=g class=2 again-ms=180 reserved=true limit-waited-ms=0 per-second=9 burst=9 used-here=3 leased-here=0 withheld=0 cause=window
entry-2 ts=2026-12-02T10:00:19.900Z part=peers event=over-limit customer=c3 group=g class=2 again-ms=180 reserved=false limit-waited-ms=0 per-second=22 burst=22 used-here=14 leased-here=1 withheld=0 cause=pace
entry-2 ts=2026-12-02T10:00:21.000Z part=limits event=accountant-unanswered address=10.0.0.1:1 cause=timeout
entry-1 ts=2026-12-02T10:00:40.000Z part=request of=statement id=3 outcome=refused reason=over-limit again-ms=90 customer=c3 group=g
`

// Guards against a refusal below the limit that cannot be explained: by the instance itself, by
// another instance whose line has the cause, and without any line that says the cause.
func TestExplainLimit(t *testing.T) {
	for id, want := range map[string]string{
		"1": "12.5% of the limit was withheld for silent instances. Cause withheld: ",
		"2": "The nearest line of another instance with this customer, group and retry time says: Of its limit of 22 per second and a burst of 22, instance entry-2 had run 14 operations in the last 6 s and held 1 unused leases. Cause pace: ",
		"3": "No line says what decided it",
	} {
		x, err := explainer.Explain(strings.NewReader(limitLog), id)
		must.NoError(t, err)
		must.Len(t, 1, x.Limits)
		must.StrContains(t, x.Limits[0], want)
	}
	x, err := explainer.Explain(strings.NewReader(limitLog), "2")
	must.NoError(t, err)
	must.Len(t, 2, x.Context)
	must.Eq(t, "accountant-unanswered", x.Context[1].Fields["event"])
}
