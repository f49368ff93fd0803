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

// operator is one operator with a browser; its copy is what the page carries.
type operator struct {
	*testing.T
	handler http.Handler
	copy    editor.Copy
}

func console(t *testing.T) (http.Handler, *publisher.Publisher) {
	p := &publisher.Publisher{Store: storer.NewMemory()}
	text, err := os.ReadFile("../../samples/keyhold-document.json")
	must.NoError(t, err)
	r, err := p.Publish(context.Background(), publisher.Published{}, "keyhold", text)
	must.NoError(t, err)
	must.Eq(t, publisher.Accepted, r.Outcome)
	return (&editor.Pages{Publisher: p, Log: log.NewNopLogger()}).Handler(), p
}

func (o *operator) send(r *http.Request, status int) string {
	o.Helper()
	w := httptest.NewRecorder()
	o.handler.ServeHTTP(w, r)
	must.Eq(o, status, w.Code, must.Sprint(w.Body.String()))
	body := w.Body.String()
	if _, rest, ok := strings.Cut(body, `name="version" value="`); ok {
		_, err := fmt.Sscanf(rest, "%d", &o.copy.Version)
		must.NoError(o, err)
	}
	return body
}

func (o *operator) start() string {
	o.Helper()
	return o.send(httptest.NewRequest(http.MethodGet, "/", nil), http.StatusOK)
}

func (o *operator) post(path string, status int, values ...string) string {
	o.Helper()
	form := url.Values{"version": {fmt.Sprint(o.copy.Version)}, "text": {o.copy.Text}}
	for i := 0; i+1 < len(values); i += 2 {
		form.Set(values[i], values[i+1])
	}
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(form.Encode()))
	r.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	return o.send(r, status)
}

func input(form editor.Form, values ...string) func(string) string {
	return func(key string) string {
		for i, f := range form.Fields {
			if f.Key == key && i < len(values) {
				return values[i]
			}
		}
		return ""
	}
}

func (o *operator) put(form, path string, values ...string) {
	o.Helper()
	c, err := o.copy.Put(editor.Forms[form], path, input(editor.Forms[form], values...))
	must.NoError(o, err)
	o.copy = c
}

// Everything in a document can be made by forms, and it passes the one check.
func TestDocumentByForms(t *testing.T) {
	o := &operator{T: t}
	o.put("service", "/services/-", "lockers", "20", "3", "10000")
	o.put("member", "/services/0/members/-", "m1", "10.0.0.1:5432", "hobart", "")
	o.put("member", "/services/0/members/-", "m2", "10.0.0.2:5432", "burnie", "on")
	o.put("rule", "/services/0/reader-rules/-", "drop-status", "5000")
	o.put("customer", "/services/0/customers/-", "agencies", "4", "desk app")
	o.put("service", "/services/0", "lockers", "30", "3", "10000")
	d, problems := o.copy.Check()
	must.NoError(t, problems.Err())
	must.Eq(t, 30, d.Services[0].Connections)
	must.True(t, d.Services[0].Members[1].Leaving)
	must.Eq(t, []string{"desk", "app"}, d.Services[0].Customers[0].Users)
	c, err := o.copy.Remove("/services/0/members/1")
	must.NoError(t, err)
	d, problems = c.Check()
	must.NoError(t, problems.Err())
	must.Len(t, 1, d.Services[0].Members)
	c, err = c.Remove("/services/7")
	must.Error(t, err)
	must.NotEq(t, "", c.Text)
}

// A word where a number should be is a mistake at its place, not a lost input.
func TestMistake(t *testing.T) {
	o := &operator{T: t}
	o.put("service", "/services/-", "lockers", "many", "3", "0")
	_, problems := o.copy.Check()
	must.StrContains(t, problems.Error(), `services[0].connections: found "many"; allowed: a whole number`)
}

// Two operators begin with version 1. The first publishes; the second is shown
// what differs, has changed nothing, and can't publish over it.
func TestRace(t *testing.T) {
	h, p := console(t)
	first, second := &operator{T: t, handler: h}, &operator{T: t, handler: h}
	for _, o := range []*operator{first, second} {
		must.StrContains(t, o.start(), "Service lockers-south")
		now, err := p.Current(t.Context())
		must.NoError(t, err)
		o.copy.Text = string(now.Text)
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
	h, p := console(t)
	o := &operator{T: t, handler: h}
	o.start()
	now, err := p.Current(t.Context())
	must.NoError(t, err)
	o.copy.Text = string(now.Text)
	body := o.post("/put", http.StatusOK, "put", "rule /services/0/reader-rules/-", "/services/0/reader-rules/- kind", "audit", "/services/0/reader-rules/- max-age-ms", "1000")
	must.StrContains(t, body, "&#43; service lockers-south reader rule audit: at most 1s old")
	must.StrContains(t, body, `name="/services/0/reader-rules/5 kind" value="audit"`)
	must.StrContains(t, o.post("/remove", http.StatusOK, "remove", "/services/0"), "- service lockers-south connections: 20")
	must.StrContains(t, o.post("/open", http.StatusOK, "show", "lockers-west"), "<h2>Service lockers-west</h2>")
	o.post("/put", http.StatusBadRequest, "put", "nothing /services/0")
	o.post("/put", http.StatusBadRequest, "put", "rule elsewhere")
	o.copy.Text = `{"services": [{}]}`
	must.StrContains(t, o.post("/publish", http.StatusUnprocessableEntity), "no key &#34;name&#34;")
}

// A page of another site must not publish with an operator's browser.
func TestOtherSite(t *testing.T) {
	h, p := console(t)
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
