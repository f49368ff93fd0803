package configurer

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"
	"github.com/tailscale/hujson"
)

type (
	wireDocument struct {
		Services []wireService `json:"services"`
	}

	wireService struct {
		Name        string         `json:"name"`
		Members     []wireMember   `json:"members"`
		Connections int            `json:"connections"`
		Slots       int            `json:"slots"`
		HoldMS      int            `json:"hold-ms"`
		Rules       []wireRule     `json:"reader-rules"`
		Customers   []wireCustomer `json:"customers"`
	}

	wireMember struct {
		Name    string `json:"name"`
		Address string `json:"address"`
		Zone    string `json:"availability-zone"`
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

// Decode reads a document: JSON with comments.
func Decode(text []byte) (*Document, error) {
	plain, err := hujson.Standardize(bytes.Clone(text))
	if err != nil {
		return nil, errors.Wrap(err, "document")
	}
	in := json.NewDecoder(bytes.NewReader(plain))
	in.DisallowUnknownFields()
	var w wireDocument
	if err := in.Decode(&w); err != nil {
		return nil, errors.Wrap(err, "document")
	}
	d := &Document{}
	for _, s := range w.Services {
		d.Services = append(d.Services, fromWire(s))
	}
	return d, nil
}

func fromWire(w wireService) Service {
	s := Service{
		Name: w.Name, Connections: w.Connections, Slots: w.Slots,
		Hold: time.Duration(w.HoldMS) * time.Millisecond,
	}
	for _, m := range w.Members {
		s.Members = append(s.Members, Member{Name: m.Name, Address: m.Address, Zone: m.Zone})
	}
	for _, r := range w.Rules {
		s.Rules = append(s.Rules, ReaderRule{Kind: r.Kind, MaxAge: time.Duration(r.MaxAgeMS) * time.Millisecond})
	}
	for _, c := range w.Customers {
		s.Customers = append(s.Customers, Customer{Name: c.Name, Share: c.Share, Users: c.Users})
	}
	return s
}

// Encode writes a document in its canonical form.
func Encode(d *Document) []byte {
	w := wireDocument{Services: []wireService{}}
	for _, s := range d.Services {
		w.Services = append(w.Services, toWire(s))
	}
	text, err := json.MarshalIndent(w, "", "  ")
	if err != nil {
		panic(err) // plain data always encodes
	}
	return append(text, '\n')
}

func toWire(s Service) wireService {
	w := wireService{
		Name: s.Name, Connections: s.Connections, Slots: s.Slots, HoldMS: int(s.Hold.Milliseconds()),
		Members: []wireMember{}, Rules: []wireRule{}, Customers: []wireCustomer{},
	}
	for _, m := range s.Members {
		w.Members = append(w.Members, wireMember{Name: m.Name, Address: m.Address, Zone: m.Zone})
	}
	for _, r := range s.Rules {
		w.Rules = append(w.Rules, wireRule{Kind: r.Kind, MaxAgeMS: int(r.MaxAge.Milliseconds())})
	}
	for _, c := range s.Customers {
		w.Customers = append(w.Customers, wireCustomer{Name: c.Name, Share: c.Share, Users: c.Users})
	}
	return w
}
