package editor_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/url"
	"os"
	"strings"
	"testing"

	"github.com/go-kit/log"
	"github.com/oriolegw/oriolegw/internal/configurer"
	"github.com/oriolegw/oriolegw/internal/editor"
	"github.com/oriolegw/oriolegw/internal/publisher"
	"github.com/oriolegw/oriolegw/internal/storer"
	"github.com/shoenig/test/must"
)

// browser simulates an operator's browser. Its copy is the working copy in the page.
type browser struct {
	*testing.T
	handler http.Handler
	copy    editor.WorkingCopy
}

func newHandler(t *testing.T) (http.Handler, *publisher.Publisher) {
	p := &publisher.Publisher{Store: storer.NewMemory()}
	text, err := os.ReadFile("../../samples/keyhold-document.json")
	must.NoError(t, err)
	r, err := p.Publish(context.Background(), publisher.Published{}, "keyhold", text)
	must.NoError(t, err)
	must.Eq(t, publisher.Accepted, r.Outcome)
	return (&editor.Pages{Publisher: p, Log: log.NewNopLogger()}).Handler(), p
}

func (b *browser) send(r *http.Request, status int) string {
	b.Helper()
	w := httptest.NewRecorder()
	b.handler.ServeHTTP(w, r)
	must.Eq(b, status, w.Code, must.Sprint(w.Body.String()))
	body := w.Body.String()
	if _, rest, ok := strings.Cut(body, `name="version" value="`); ok {
		_, err := fmt.Sscanf(rest, "%d", &b.copy.Version)
		must.NoError(b, err)
	}
	return body
}

func (b *browser) start() string {
	b.Helper()
	return b.send(httptest.NewRequest(http.MethodGet, "/", nil), http.StatusOK)
}

func (b *browser) post(path string, status int, values ...string) string {
	b.Helper()
	form := url.Values{"version": {fmt.Sprint(b.copy.Version)}, "text": {b.copy.Text}}
	for i := 0; i+1 < len(values); i += 2 {
		form.Set(values[i], values[i+1])
	}
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(form.Encode()))
	r.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	return b.send(r, status)
}

func inputValues(form editor.Form, values ...string) func(string) string {
	return func(key string) string {
		for i, f := range form.Fields {
			if f.Key == key && i < len(values) {
				return values[i]
			}
		}
		return ""
	}
}

func (b *browser) put(form, path string, values ...string) {
	b.Helper()
	c, err := b.copy.SetObject(editor.Forms[form], path, inputValues(editor.Forms[form], values...))
	must.NoError(b, err)
	b.copy = c
}

// The forms can build a complete, valid document.
func TestBuildDocument(t *testing.T) {
	b := &browser{T: t}
	b.put("service", "/services/-", "lockers", "20", "3", "10000")
	b.put("member", "/services/0/members/-", "m1", "10.0.0.1:5432", "hobart", "")
	b.put("member", "/services/0/members/-", "m2", "10.0.0.2:5432", "burnie", "on")
	b.put("rule", "/services/0/reader-rules/-", "drop-status", "5000")
	b.put("customer", "/services/0/customers/-", "agencies", "4", "desk app")
	b.put("service", "/services/0", "lockers", "30", "3", "10000")
	d, problems := b.copy.Check()
	must.NoError(t, problems.Err())
	must.Eq(t, 30, d.Services[0].Connections)
	must.True(t, d.Services[0].Members[1].Leaving)
	must.Eq(t, []string{"desk", "app"}, d.Services[0].Customers[0].Users)
	c, err := b.copy.Remove("/services/0/members/1")
	must.NoError(t, err)
	d, problems = c.Check()
	must.NoError(t, problems.Err())
	must.Len(t, 1, d.Services[0].Members)
	c, err = c.Remove("/services/7")
	must.Error(t, err)
	must.NotEq(t, "", c.Text)
}

// An invalid number is kept and reported at its position.
func TestInvalidNumber(t *testing.T) {
	b := &browser{T: t}
	b.put("service", "/services/-", "lockers", "many", "3", "0")
	_, problems := b.copy.Check()
	must.StrContains(t, problems.Error(), `services[0].connections: found "many"; allowed: a whole number`)
}

// Of two operators who edit the same version, the second to publish changes
// nothing and sees the differences.
func TestConcurrentEdits(t *testing.T) {
	h, p := newHandler(t)
	first, second := &browser{T: t, handler: h}, &browser{T: t, handler: h}
	for _, b := range []*browser{first, second} {
		must.StrContains(t, b.start(), "Service lockers-south")
		now, err := p.Current(t.Context())
		must.NoError(t, err)
		b.copy.Text = string(now.Text)
	}
	first.put("service", "/services/0", "lockers-south", "21", "3", "10000")
	must.StrContains(t, first.post("/publish", http.StatusOK), "Accepted as version 2.")
	second.put("service", "/services/0", "lockers-south", "22", "3", "10000")
	must.StrContains(t, second.post("/publish", http.StatusConflict), "~ service lockers-south connections: 22 -&gt; 21")
	second.post("/publish", http.StatusConflict)
	now, err := p.Current(t.Context())
	must.NoError(t, err)
	must.Eq(t, 21, now.Document.Services[0].Connections)
	must.StrContains(t, string(now.Text), "// Callers name the service as their database.")
}

func TestPages(t *testing.T) {
	h, p := newHandler(t)
	b := &browser{T: t, handler: h}
	b.start()
	now, err := p.Current(t.Context())
	must.NoError(t, err)
	b.copy.Text = string(now.Text)
	body := b.post("/put", http.StatusOK, "put", "rule /services/0/reader-rules/-", "/services/0/reader-rules/- kind", "audit", "/services/0/reader-rules/- max-age-ms", "1000")
	must.StrContains(t, body, "&#43; service lockers-south reader rule audit: at most 1s old")
	must.StrContains(t, body, `name="/services/0/reader-rules/5 kind" value="audit"`)
	must.StrContains(t, b.post("/remove", http.StatusOK, "remove", "/services/0"), "- service lockers-south connections: 20")
	must.StrContains(t, b.post("/open", http.StatusOK, "show", "lockers-west"), "<h2>Service lockers-west</h2>")
	b.post("/put", http.StatusBadRequest, "put", "nothing /services/0")
	b.post("/put", http.StatusBadRequest, "put", "rule elsewhere")
	b.copy.Text = `{"services": [{}]}`
	must.StrContains(t, b.post("/publish", http.StatusUnprocessableEntity), "no key &#34;name&#34;")
}

// Cross-site requests are rejected, so that other sites can't publish through an
// operator's browser.
func TestCrossSiteRequest(t *testing.T) {
	h, p := newHandler(t)
	r := httptest.NewRequest(http.MethodPost, "/publish", strings.NewReader("version=1&text="+string(configurer.Encode(&configurer.Document{}))))
	r.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	r.Header.Set("Sec-Fetch-Site", "cross-site")
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	must.Eq(t, http.StatusForbidden, w.Code)
	now, err := p.Current(t.Context())
	must.NoError(t, err)
	must.Eq(t, 1, now.Version)
}
