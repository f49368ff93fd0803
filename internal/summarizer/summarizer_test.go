package summarizer_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/oriolegw/oriolegw/internal/explainer"
	"github.com/oriolegw/oriolegw/internal/summarizer"
	"github.com/shoenig/test/must"
)

const log = `
a-1 ts=2026-03-25T00:08:10.000Z part=belief event=dependency-lost dependency=store cause="i/o timeout"
a-2 ts=2026-03-25T00:08:10.100Z part=belief event=dependency-lost dependency=store cause=reset
a-1 ts=2026-03-25T00:08:10.200Z part=served id=1 group=g member=m waited-ms=3 ms=40
a-1 ts=2026-03-25T00:08:11.000Z part=request of=statement id=2 outcome=refused reason=no-connection group=g
a-1 ts=2026-03-25T00:08:11.500Z part=request of=statement id=3 outcome=refused reason=no-connection group=g
a-1 ts=2026-03-25T00:08:11.600Z part=connection event=connect-failed group=g member=m cause="member refused: too-many-connections m"
a-1 ts=2026-03-25T00:08:12.000Z part=duty event=move-ended group=g reason=primary-silent from=m to=n outcome=done ms=352
a-1 ts=2026-03-25T00:08:12.500Z part=belief event=dependency-regained dependency=store
another program's line
a-2 ts=2026-03-25T00:08:13.000Z part=journal event=lines-dropped lines=7
`

func read(t *testing.T, text string) *summarizer.Report {
	t.Helper()
	lines, err := explainer.ParseLog(strings.NewReader(text))
	must.NoError(t, err)
	return summarizer.Summarize(lines)
}

// Summarizes the merged logs of two instances.
func TestSummarize(t *testing.T) {
	r := read(t, log)
	must.Eq(t, map[int]int{1: 2}, r.Series["refused, no-connection"])
	must.Eq(t, map[int]int{1: 1}, r.Series[summarizer.SeriesConnectionLimit])
	must.Eq(t, map[int]int{0: 1}, r.Series[summarizer.SeriesServed])
	must.Len(t, 1, r.Causes)
	must.Eq(t, 2, r.Causes[0].Count)
	must.Len(t, 1, r.PrimaryChanges)
	must.Eq(t, "352ms", r.PrimaryChanges[0].Took.String())
	must.Len(t, 2, r.Outages)
	must.False(t, r.Outages[0].Until.IsZero())
	must.True(t, r.Outages[1].Until.IsZero())
	must.Eq(t, 7, r.Dropped)
	must.Eq(t, 40, r.Groups["g"].Max())
}

// Guards against truncated pages and unescaped markup.
func TestWrite(t *testing.T) {
	for _, text := range []string{log, "", "ts=2026-03-25T00:08:10.000Z part=request outcome=refused reason=<script> group=g"} {
		var b strings.Builder
		must.NoError(t, read(t, text).Write(&b))
		must.StrContains(t, b.String(), "</html>")
		must.StrNotContains(t, b.String(), "<script>")
	}
}

// Checks the page for one cause in many groups, a dependency lost by two instances, and an
// unfinished primary change.
func TestPageContents(t *testing.T) {
	var text strings.Builder
	for i := range 20 {
		fmt.Fprintf(&text, "ts=2026-03-25T00:08:11.%03dZ instance=a-1 part=request of=session outcome=refused reason=no-connection group=g%d\n", i, i)
	}
	text.WriteString("ts=2026-03-25T00:08:10.000Z instance=a-1 part=served id=1 group=g1 ms=40\n" +
		"ts=2026-03-25T00:08:10.100Z instance=a-1 part=belief event=dependency-lost dependency=store cause=reset\n" +
		"ts=2026-03-25T00:08:10.100Z instance=a-2 part=belief event=dependency-lost dependency=store cause=reset\n" +
		"ts=2026-03-25T00:08:12.000Z instance=a-1 part=belief event=dependency-regained dependency=store\n" +
		"ts=2026-03-25T00:08:12.100Z instance=a-2 part=belief event=dependency-regained dependency=store\n" +
		"ts=2026-03-25T00:08:12.500Z instance=a-2 part=duty event=move-begins group=g1 reason=primary-silent primary=m\n")
	r := read(t, text.String())
	must.Len(t, 1, r.Causes)
	must.Eq(t, 20, r.Causes[0].Count)
	must.Len(t, 1, r.PrimaryChanges)
	var b strings.Builder
	must.NoError(t, r.Write(&b))
	for _, want := range []string{
		"20 refused, aborted, failed or of unknown outcome (95.2%)", "Worst second 00:08:11.000: 20 of 20", "20, most in g0 (1)", "end not logged",
		`<td>store</td><td class="n">2</td><td>00:08:10.100</td><td>00:08:12.100</td><td class="n">0</td>`,
	} {
		must.StrContains(t, b.String(), want)
	}
}

func ExampleSummarize() {
	lines, err := explainer.ParseLog(strings.NewReader(log))
	if err != nil {
		fmt.Println(err)
		return
	}
	for _, m := range summarizer.Summarize(lines).PrimaryChanges {
		fmt.Println(m.Group, m.Reason, m.From, m.To, m.Took)
	}
	// Output: g primary-silent m n 352ms
}
