package rankgroup

import (
	"encoding/binary"
	"slices"
)

// The changes of a map are encoded by row, which is the experts of one rank in one layer. A changed row drops some of its
// experts and appends others. Numbers of the same meaning are encoded next to each other, since they compress better then.

// changeColumn is one of the columns of encoded changes.
type changeColumn int

// Columns of encoded changes. All hold unsigned varints.
const (
	columnGaps    changeColumn = iota // number of rows from the previous changed row to this one
	columnDrops                       // number of experts that the row drops
	columnAdds                        // number of experts that the row appends
	columnDropped                     // their positions in the row
	columnAdded                       // the appended experts
	columnCount
)

// changeEncoder encodes the changes of a map.
type changeEncoder struct {
	columns [columnCount][]byte
	lastRow int
}

func (e *changeEncoder) put(c changeColumn, n int) {
	e.columns[c] = binary.AppendUvarint(e.columns[c], uint64(n))
}

// add adds the change of a row.
func (e *changeEncoder) add(row int, before, after []int) {
	e.put(columnGaps, row-e.lastRow)
	e.lastRow = row
	kept := 0
	for i, expert := range before {
		if kept < len(after) && expert == after[kept] {
			kept++
		} else {
			e.put(columnDropped, i)
		}
	}
	e.put(columnDrops, len(before)-kept)
	e.put(columnAdds, len(after)-kept)
	for _, expert := range after[kept:] {
		e.put(columnAdded, expert)
	}
}

// bytes returns the columns, each after its length.
func (e *changeEncoder) bytes() []byte {
	var out []byte
	for _, column := range e.columns {
		out = append(binary.AppendUvarint(out, uint64(len(column))), column...)
	}
	return out
}

// encodeChanges encodes the rows in which the next map differs from the base map. Both have the same layers and ranks.
func encodeChanges(base, next [][][]int) []byte {
	var e changeEncoder
	row := 0
	for l := range next {
		for rank, experts := range next[l] {
			if !slices.Equal(base[l][rank], experts) {
				e.add(row, base[l][rank], experts)
			}
			row++
		}
	}
	return e.bytes()
}

// changeDecoder decodes the result of encodeChanges.
type changeDecoder struct {
	columns   [columnCount][]byte
	malformed bool // a number was missing or too large; it was read as 0
}

// maxChangeNumber limits the numbers of encoded changes. A map with so many rows or experts exceeds maxMapBytes.
const maxChangeNumber = maxMapBytes

// readNumber returns the number at the start of the data, and the data after it.
func (d *changeDecoder) readNumber(data []byte) (int, []byte) {
	n, size := binary.Uvarint(data)
	if size <= 0 || n > maxChangeNumber {
		d.malformed = true
		return 0, nil
	}
	return int(n), data[size:]
}

func newChangeDecoder(raw []byte) *changeDecoder {
	d := &changeDecoder{}
	for c := range d.columns {
		var n int
		n, raw = d.readNumber(raw)
		if n > len(raw) {
			d.malformed = true
			return d
		}
		d.columns[c], raw = raw[:n], raw[n:]
	}
	return d
}

func (d *changeDecoder) next(c changeColumn) (n int) {
	n, d.columns[c] = d.readNumber(d.columns[c])
	return n
}

// row returns a row after its change.
func (d *changeDecoder) row(before []int) []int {
	after := slices.Clone(before)
	for n, dropped := d.next(columnDrops), 0; dropped < n && !d.malformed; dropped++ {
		i := d.next(columnDropped) - dropped
		if i < 0 || i >= len(after) {
			d.malformed = true
			return nil
		}
		after = slices.Delete(after, i, i+1)
	}
	for n := d.next(columnAdds); n > 0 && !d.malformed; n-- {
		after = append(after, d.next(columnAdded))
	}
	return after
}

// decodeChanges returns the base map with the changes that encodeChanges has encoded.
func decodeChanges(raw []byte, base [][][]int) ([][][]int, error) {
	if base == nil {
		return nil, errNoBaseMap
	}
	m := make([][][]int, len(base))
	for l := range base {
		m[l] = slices.Clone(base[l])
	}
	d := newChangeDecoder(raw)
	for row := 0; len(d.columns[columnGaps]) > 0 && !d.malformed; {
		row += d.next(columnGaps)
		if len(m) == 0 || len(m[0]) == 0 || row/len(m[0]) >= len(m) {
			return nil, errMalformedMap
		}
		l, rank := row/len(m[0]), row%len(m[0])
		if rank >= len(m[l]) {
			return nil, errMalformedMap
		}
		m[l][rank] = d.row(m[l][rank])
	}
	if d.malformed {
		return nil, errMalformedMap
	}
	return m, nil
}
