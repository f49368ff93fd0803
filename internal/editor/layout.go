package editor

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/oriolegw/oriolegw/internal/configurer"
)

type (
	// group is a heading of the page with its sections.
	group struct {
		Title    string
		Sections []section
	}

	// section is a list of things of one kind, and the form for one more.
	section struct {
		Title string
		Rows  []row
		New   *row
	}

	// row is one form: the thing at a path, with its values by key.
	row struct {
		Form   Form
		Path   string
		Values map[string]string
	}
)

const newElement = "/-"

// Input is the name of the input for a key: all rows are in one form, so that
// the working copy stands on the page once.
func (r row) Input(key string) string { return inputName(r.Path, key) }

func inputName(path, key string) string { return path + " " + key }

// Target names the row's form and path for the button that sends it.
func (r row) Target() string { return r.Form.Name + " " + r.Path }

// Groups lays the copy's document out: the open service, what users there are,
// and the form for a new service. Only one service is shown, since a page with
// thousands of them is of no use to a reader and too large to send.
func (v view) Groups() []group {
	var out []group
	for i, s := range v.Document.Services {
		if s.Name != v.Open {
			continue
		}
		at := fmt.Sprintf("/services/%d", i)
		out = append(out, group{Title: "Service " + s.Name, Sections: []section{
			{Title: "service", Rows: []row{v.row("service", at, serviceValues(s))}},
			list(v, "members", "member", at+"/members", s.Members, memberValues),
			list(v, "reader rules", "rule", at+"/reader-rules", s.Rules, ruleValues),
			list(v, "customers", "customer", at+"/customers", s.Customers, customerValues),
		}})
	}
	return append(out,
		group{Title: "Users", Sections: []section{list(v, "users", "user", "/users", v.Document.Users, userValues)}},
		group{Title: "A new service", Sections: []section{{Title: "service", New: v.newRow("service", "/services")}}},
	)
}

func (v view) row(form, path string, values map[string]string) row {
	return row{Form: Forms[form], Path: path, Values: values}
}

func (v view) newRow(form, path string) *row {
	r := v.row(form, path+newElement, nil)
	return &r
}

func list[T any](v view, title, form, path string, things []T, values func(T) map[string]string) section {
	s := section{Title: title, New: v.newRow(form, path)}
	for i, t := range things {
		s.Rows = append(s.Rows, v.row(form, fmt.Sprintf("%s/%d", path, i), values(t)))
	}
	return s
}

func serviceValues(s configurer.Service) map[string]string {
	return map[string]string{
		"name": s.Name, "connections": strconv.Itoa(s.Connections), "slots": strconv.Itoa(s.Slots),
		"hold-ms": strconv.FormatInt(s.FailoverWait.Milliseconds(), 10),
	}
}

func memberValues(m configurer.Member) map[string]string {
	leaving := ""
	if m.Leaving {
		leaving = "on"
	}
	return map[string]string{"name": m.Name, "address": m.Address, "availability-zone": m.Zone, "leaving": leaving}
}

func ruleValues(r configurer.ReaderRule) map[string]string {
	return map[string]string{"kind": r.Kind, "max-age-ms": strconv.FormatInt(r.MaxAge.Milliseconds(), 10)}
}

func customerValues(c configurer.Customer) map[string]string {
	return map[string]string{"name": c.Name, "share": strconv.Itoa(c.Share), "users": strings.Join(c.Users, " ")}
}

func userValues(u configurer.User) map[string]string {
	return map[string]string{"name": u.Name, "password-verifier": u.Verifier}
}
