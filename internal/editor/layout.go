package editor

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/oriolegw/oriolegw/internal/configurer"
)

type (
	// group is a titled part of the page with its sections.
	group struct {
		Title    string
		Sections []section
	}

	// section lists objects of one kind, with a form to add another.
	section struct {
		Title string
		Rows  []row
		New   *row
	}

	// row is a form for the object at a path, with its values by key.
	row struct {
		Form   Form
		Path   string
		Values map[string]string
	}
)

const appendElement = "/-"

// Input returns the name of the input for a key. It includes the path, since all
// rows are in one HTML form.
func (r row) Input(key string) string { return inputName(r.Path, key) }

func inputName(path, key string) string { return path + " " + key }

// Target returns the button value that selects the row's form and path.
func (r row) Target() string { return r.Form.Name + " " + r.Path }

// Groups returns the parts of the page: the selected service, the users, and the
// form for a new service. Only one service is shown, to bound the page size.
func (v view) Groups() []group {
	var out []group
	for i, s := range v.Document.Services {
		if s.Name != v.Open {
			continue
		}
		path := fmt.Sprintf("/services/%d", i)
		out = append(out, group{Title: "Service " + s.Name, Sections: []section{
			{Title: "service", Rows: []row{v.row("service", path, serviceValues(s))}},
			listSection(v, "members", "member", path+"/members", s.Members, memberValues),
			listSection(v, "reader rules", "rule", path+"/reader-rules", s.Rules, ruleValues),
			listSection(v, "customers", "customer", path+"/customers", s.Customers, customerValues),
		}})
	}
	return append(out,
		group{Title: "Users", Sections: []section{listSection(v, "users", "user", "/users", v.Document.Users, userValues)}},
		group{Title: "New service", Sections: []section{{Title: "service", New: v.newRow("service", "/services")}}},
	)
}

func (v view) row(form, path string, values map[string]string) row {
	return row{Form: Forms[form], Path: path, Values: values}
}

func (v view) newRow(form, path string) *row {
	r := v.row(form, path+appendElement, nil)
	return &r
}

func listSection[T any](v view, title, form, path string, objects []T, values func(T) map[string]string) section {
	s := section{Title: title, New: v.newRow(form, path)}
	for i, o := range objects {
		s.Rows = append(s.Rows, v.row(form, fmt.Sprintf("%s/%d", path, i), values(o)))
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
