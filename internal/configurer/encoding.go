package configurer

import (
	"encoding/json"
)

type (
	wireDocument struct {
		Services []wireService `json:"services"`
		Users    []wireUser    `json:"users,omitempty"`
	}

	wireUser struct {
		Name     string `json:"name"`
		Verifier string `json:"password-verifier"`
	}

	wireService struct {
		Name        string         `json:"name"`
		Members     []wireMember   `json:"members"`
		Connections int            `json:"connections"`
		Slots       int            `json:"slots"`
		HoldMS      int            `json:"hold-ms,omitempty"`
		Rules       []wireRule     `json:"reader-rules"`
		Customers   []wireCustomer `json:"customers"`
	}

	wireMember struct {
		Name    string `json:"name"`
		Address string `json:"address"`
		Zone    string `json:"availability-zone"`
		Leaving bool   `json:"leaving,omitempty"`
	}

	wireRule struct {
		Kind     string `json:"kind"`
		MaxAgeMS int    `json:"max-age-ms"`
	}

	wireCustomer struct {
		Name  string   `json:"name"`
		Share int      `json:"share"`
		Users []string `json:"users"`
	}
)

// Decode decodes a published document: JSON with comments. Unknown keys are ignored: they were
// valid for the newer program that published the document, and an instance that rejected it
// would stay with an outdated configuration during an upgrade.
func Decode(text []byte) (*Document, error) {
	d, problems := Check("document", text)
	if err := problems.WithoutUnknownKeys().Err(); err != nil {
		return nil, err
	}
	return d, nil
}

// Encode returns a document in its canonical form.
func Encode(d *Document) []byte {
	w := wireDocument{Services: []wireService{}}
	for _, s := range d.Services {
		w.Services = append(w.Services, serviceToWire(s))
	}
	for _, u := range d.Users {
		w.Users = append(w.Users, wireUser{Name: u.Name, Verifier: u.Verifier})
	}
	text, err := json.MarshalIndent(w, "", "  ")
	if err != nil {
		panic(err) // plain data always encodes
	}
	return append(text, '\n')
}

func serviceToWire(s Service) wireService {
	w := wireService{
		Name: s.Name, Connections: s.Connections, Slots: s.Slots, HoldMS: int(s.FailoverWait.Milliseconds()),
		Members: []wireMember{}, Rules: []wireRule{}, Customers: []wireCustomer{},
	}
	for _, m := range s.Members {
		w.Members = append(w.Members, wireMember{Name: m.Name, Address: m.Address, Zone: m.Zone, Leaving: m.Leaving})
	}
	for _, r := range s.Rules {
		w.Rules = append(w.Rules, wireRule{Kind: r.Kind, MaxAgeMS: int(r.MaxAge.Milliseconds())})
	}
	for _, c := range s.Customers {
		users := c.Users
		if users == nil {
			users = []string{}
		}
		w.Customers = append(w.Customers, wireCustomer{Name: c.Name, Share: c.Share, Users: users})
	}
	return w
}
