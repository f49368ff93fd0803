package configurer

import (
	"bytes"
	"crypto/sha256"
	"hash/crc32"

	"github.com/go-faster/errors"
)

type (
	// Difference makes one text from another. At 2,500 changes a day and a
	// document near a megabyte, sending the whole to each instance would take
	// 29 KB/s of each; a change of one service is some hundred bytes.
	Difference struct {
		Steps []Step
		// Sum is the SHA-256 of the result. A text that was put together from a
		// wrong base is found by it, and the whole is fetched instead.
		Sum [sha256.Size]byte
	}

	// Step is a range of the base, or a text of its own.
	Step struct {
		From, To int
		Text     []byte
	}
)

const (
	// chunkMask makes a line in 8, by its content, the last of a chunk: a line
	// put in or taken out moves no other boundary.
	chunkMask = 7
	// stepBytes is what a step takes beside its text, about.
	stepBytes = 12
)

// ErrDifference means that a difference does not fit the base it was applied to.
var ErrDifference = errors.New("difference does not fit")

// chunks cuts a text behind lines that its content chooses.
func chunks(text []byte) [][]byte {
	var out [][]byte
	start := 0
	for i := 0; i < len(text); {
		end := len(text)
		if n := bytes.IndexByte(text[i:], '\n'); n >= 0 {
			end = i + n + 1
		}
		if crc32.ChecksumIEEE(text[i:end])&chunkMask == 0 || end == len(text) {
			out = append(out, text[start:end])
			start = end
		}
		i = end
	}
	return out
}

// Compare returns how to make next from base.
func Compare(base, next []byte) Difference {
	at := map[string]int{}
	offset := 0
	for _, c := range chunks(base) {
		if _, ok := at[string(c)]; !ok {
			at[string(c)] = offset
		}
		offset += len(c)
	}
	d := Difference{Sum: sha256.Sum256(next)}
	// Behind a copied chunk its neighbour is tried first, for chunks that stand
	// in the base more than once.
	neighbour := 0
	for _, c := range chunks(next) {
		from, ok := neighbour, bytes.HasPrefix(base[neighbour:], c)
		if !ok {
			from, ok = at[string(c)]
		}
		if !ok {
			d.Steps = append(d.Steps, Step{Text: c})
			continue
		}
		neighbour = from + len(c)
		if n := len(d.Steps); n > 0 && len(d.Steps[n-1].Text) == 0 && d.Steps[n-1].To == from {
			d.Steps[n-1].To = neighbour
			continue
		}
		d.Steps = append(d.Steps, Step{From: from, To: neighbour})
	}
	return d
}

// Size returns how many bytes the difference takes on the wire, about.
func (d Difference) Size() int {
	n := len(d.Sum)
	for _, s := range d.Steps {
		n += stepBytes + len(s.Text)
	}
	return n
}

// Apply makes the text that the difference was made for.
func (d Difference) Apply(base []byte) ([]byte, error) {
	var out []byte
	for _, s := range d.Steps {
		if len(s.Text) > 0 {
			out = append(out, s.Text...)
			continue
		}
		if s.From < 0 || s.To < s.From || s.To > len(base) || len(out)+s.To-s.From > maxTextBytes {
			return nil, errors.Wrapf(ErrDifference, "range %d to %d of %d bytes", s.From, s.To, len(base))
		}
		out = append(out, base[s.From:s.To]...)
	}
	if sha256.Sum256(out) != d.Sum {
		return nil, errors.Wrap(ErrDifference, "sum differs")
	}
	return out, nil
}

// maxTextBytes bounds a document: twice what the store holds.
const maxTextBytes = 2 << 20
