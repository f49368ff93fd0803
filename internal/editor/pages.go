package editor

import (
	"bytes"
	"context"
	_ "embed"
	"html/template"
	"net/http"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
	"github.com/go-kit/log"
	"github.com/oriolegw/oriolegw/internal/configurer"
	"github.com/oriolegw/oriolegw/internal/inspector"
	"github.com/oriolegw/oriolegw/internal/publisher"
)

//go:embed page.html
var pageText string

var pageTemplate = template.Must(template.New("page").Parse(pageText))

type (
	// Pages serves the editor. Set the exported fields, then use Handler.
	Pages struct {
		Publisher *publisher.Publisher
		Log       log.Logger
	}

	// view is the data of the page template.
	view struct {
		Copy     WorkingCopy
		Document *configurer.Document
		Problems inspector.Problems
		// Changes lists what publishing the copy would change.
		Changes []configurer.Change
		// Open is the name of the selected service.
		Open string
		// Notice is the result of publishing. RemoteChanges are the differences
		// of a version that another operator published first.
		Notice        string
		RemoteChanges []configurer.Change
	}
)

const maxRequestBytes = 4 << 20

// Handler returns the handler of all pages. It rejects cross-origin requests.
func (p *Pages) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /{$}", p.handleStart)
	mux.HandleFunc("POST /open", p.handleOpen)
	mux.HandleFunc("POST /put", p.handlePut)
	mux.HandleFunc("POST /remove", p.handleRemove)
	mux.HandleFunc("POST /publish", p.handlePublish)
	return http.MaxBytesHandler(http.NewCrossOriginProtection().Handler(mux), maxRequestBytes)
}

func (p *Pages) handleStart(w http.ResponseWriter, r *http.Request) {
	now, err := p.Publisher.Current(r.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	p.show(w, r, http.StatusOK, view{Copy: WorkingCopy{Version: now.Version, Text: string(now.Text)}})
}

func readCopy(r *http.Request) (WorkingCopy, error) {
	version, err := strconv.ParseInt(r.FormValue("version"), 10, 64)
	if err != nil {
		return WorkingCopy{}, errors.Wrap(err, "version")
	}
	return WorkingCopy{Version: version, Text: r.FormValue("text")}, nil
}

func (p *Pages) handleOpen(w http.ResponseWriter, r *http.Request) {
	c, err := readCopy(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.show(w, r, http.StatusOK, view{Copy: c, Open: r.FormValue("show")})
}

func (p *Pages) handlePut(w http.ResponseWriter, r *http.Request) {
	name, path, _ := strings.Cut(r.FormValue("put"), " ")
	value := func(key string) string { return r.FormValue(inputName(path, key)) }
	open := r.FormValue("open")
	if name == formService { // the service may be new or renamed
		open = value("name")
	}
	p.edit(w, r, open, func(c WorkingCopy) (WorkingCopy, error) {
		form, ok := Forms[name]
		if !ok {
			return c, errors.Errorf("no form %q", name)
		}
		return c.SetObject(form, path, value)
	})
}

func (p *Pages) handleRemove(w http.ResponseWriter, r *http.Request) {
	p.edit(w, r, r.FormValue("open"), func(c WorkingCopy) (WorkingCopy, error) { return c.Remove(r.FormValue("remove")) })
}

func (p *Pages) edit(w http.ResponseWriter, r *http.Request, open string, change func(WorkingCopy) (WorkingCopy, error)) {
	c, err := readCopy(r)
	if err == nil {
		c, err = change(c)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.show(w, r, http.StatusOK, view{Copy: c, Open: open})
}

func (p *Pages) handlePublish(w http.ResponseWriter, r *http.Request) {
	c, err := readCopy(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	result, err := p.Publisher.Publish(r.Context(), publisher.Published{Version: c.Version}, fileName, []byte(c.Text))
	var problems inspector.Problems
	switch {
	case errors.As(err, &problems):
		p.show(w, r, http.StatusUnprocessableEntity, view{Copy: c, Open: r.FormValue("open")})
	case errors.Is(err, configurer.ErrUnsafeChange):
		p.show(w, r, http.StatusUnprocessableEntity, view{Copy: c, Open: r.FormValue("open"), Notice: "Nothing was changed: " + err.Error() + "."})
	case result.Outcome == publisher.Accepted:
		p.logEvent("Document published.", result.Current.Version)
		p.show(w, r, http.StatusOK, view{
			Copy:   WorkingCopy{Version: result.Current.Version, Text: string(result.Current.Text)},
			Open:   r.FormValue("open"),
			Notice: "Accepted as version " + strconv.FormatInt(result.Current.Version, 10) + ".",
		})
	case result.Outcome == publisher.Conflict:
		p.showConflict(w, r, c, result)
	default:
		http.Error(w, "outcome unknown, the document may be in force; check the start page before publishing again: "+err.Error(), http.StatusServiceUnavailable)
	}
}

// showConflict reports that another version was published first, with its differences
// from the copy. The copy keeps its base version and so can't be published.
func (p *Pages) showConflict(w http.ResponseWriter, r *http.Request, c WorkingCopy, result publisher.Result) {
	document, _ := c.Check()
	p.show(w, r, http.StatusConflict, view{
		Copy:          c,
		Open:          r.FormValue("open"),
		Notice:        "Nothing was changed: another operator published version " + strconv.FormatInt(result.Current.Version, 10) + " first.",
		RemoteChanges: configurer.Diff(document, result.Current.Document),
	})
}

func (p *Pages) show(w http.ResponseWriter, r *http.Request, status int, v view) {
	v.Document, v.Problems = v.Copy.Check()
	if v.Copy.Text == "" {
		v.Document, v.Problems = &configurer.Document{}, nil
	}
	if v.Open == "" && len(v.Document.Services) > 0 {
		v.Open = v.Document.Services[0].Name
	}
	v.Changes = p.changes(r.Context(), v)
	var out bytes.Buffer
	if err := pageTemplate.Execute(&out, v); err != nil {
		p.logEvent("Page could not be rendered: "+err.Error(), v.Copy.Version)
		http.Error(w, "the page could not be rendered", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	_, _ = w.Write(out.Bytes())
}

// changes returns the differences of the copy from the published document, or nil if
// that has another version.
func (p *Pages) changes(ctx context.Context, v view) []configurer.Change {
	now, err := p.Publisher.Current(ctx)
	if err != nil || now.Version != v.Copy.Version {
		return nil
	}
	return configurer.Diff(now.Document, v.Document)
}

func (p *Pages) logEvent(text string, version int64) {
	_ = p.Log.Log("part", "console", "msg", text, "version", version)
}
