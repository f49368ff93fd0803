package configurer

import (
	"bytes"
	"crypto/sha256"
	"hash/crc32"

	"github.com/go-faster/errors"
)

type (
	// Patch transforms one text into another. Peers exchange patches because documents
	// are large and most changes small.
	Patch struct {
		Steps []Step
		// Sum is the SHA-256 of the result. It detects a wrong base; the whole document is then
		// fetched instead.
		Sum [sha256.Size]byte
	}

	// Step is a range of the base or a literal text.
	Step struct {
		From, To int
		Text     []byte
	}
)

const (
	// chunkBoundaryMask selects one line in 8, by its checksum, as the end of a chunk, so that
	// an inserted or removed line moves no other boundary.
	chunkBoundaryMask = 7
	// stepOverheadBytes is the approximate encoded size of a step without its text.
	stepOverheadBytes = 12
)

// ErrPatchMismatch means that a patch does not fit its base.
var ErrPatchMismatch = errors.New("patch does not fit its base")

// splitChunks splits a text after lines selected by their checksums.
func splitChunks(text []byte) [][]byte {
	var out [][]byte
	start := 0
	for i := 0; i < len(text); {
		end := len(text)
		if n := bytes.IndexByte(text[i:], '\n'); n >= 0 {
			end = i + n + 1
		}
		if crc32.ChecksumIEEE(text[i:end])&chunkBoundaryMask == 0 || end == len(text) {
			out = append(out, text[start:end])
			start = end
		}
		i = end
	}
	return out
}

// MakePatch returns the patch that transforms base into next.
func MakePatch(base, next []byte) Patch {
	offsets := map[string]int{}
	offset := 0
	for _, c := range splitChunks(base) {
		if _, ok := offsets[string(c)]; !ok {
			offsets[string(c)] = offset
		}
		offset += len(c)
	}
	d := Patch{Sum: sha256.Sum256(next)}
	// The chunk after the previously copied one is tried first, since chunks may repeat in the
	// base.
	adjacent := 0
	for _, c := range splitChunks(next) {
		from, ok := adjacent, bytes.HasPrefix(base[adjacent:], c)
		if !ok {
			from, ok = offsets[string(c)]
		}
		if !ok {
			d.Steps = append(d.Steps, Step{Text: c})
			continue
		}
		adjacent = from + len(c)
		if n := len(d.Steps); n > 0 && len(d.Steps[n-1].Text) == 0 && d.Steps[n-1].To == from {
			d.Steps[n-1].To = adjacent
			continue
		}
		d.Steps = append(d.Steps, Step{From: from, To: adjacent})
	}
	return d
}

// Size returns the approximate encoded size in bytes.
func (p Patch) Size() int {
	n := len(p.Sum)
	for _, s := range p.Steps {
		n += stepOverheadBytes + len(s.Text)
	}
	return n
}

// Apply returns the text that the patch transforms base into.
func (p Patch) Apply(base []byte) ([]byte, error) {
	var out []byte
	for _, s := range p.Steps {
		if len(s.Text) > 0 {
			out = append(out, s.Text...)
			continue
		}
		if s.From < 0 || s.To < s.From || s.To > len(base) || len(out)+s.To-s.From > maxDocumentBytes {
			return nil, errors.Wrapf(ErrPatchMismatch, "range %d to %d of %d bytes", s.From, s.To, len(base))
		}
		out = append(out, base[s.From:s.To]...)
	}
	if sha256.Sum256(out) != p.Sum {
		return nil, errors.Wrap(ErrPatchMismatch, "checksum mismatch")
	}
	return out, nil
}

// maxDocumentBytes bounds a document to twice the size that the store accepts.
const maxDocumentBytes = 2 << 20
