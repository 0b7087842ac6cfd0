package gateway

import (
	"bytes"
	"compress/flate"
	"io"

	"google.golang.org/protobuf/proto"

	"zinccove.example/zinccove/errs"
	"zinccove.example/zinccove/feed"
	zinccovev1 "zinccove.example/zinccove/gen/zinccove/v1"
	"zinccove.example/zinccove/platform"
)

// maxPage bounds the uncompressed rows of one page in bytes.
const maxPage = 32 << 20

// packRows encodes and compresses a page of a complete table. Rows are alike, so compression
// reduces them to an eighth of their size.
func packRows(rows []feed.Row[platform.Change]) []byte {
	page := new(zinccovev1.TableRows)
	for _, r := range rows {
		page.Rows = append(page.Rows, encodeRow(r))
	}
	encoded, err := proto.Marshal(page)
	if err != nil {
		return nil // unreachable: keys are valid UTF-8
	}
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err == nil {
		_, err = w.Write(encoded)
	}
	if err != nil || w.Close() != nil {
		return nil // unreachable: writes to a buffer do not fail
	}
	return b.Bytes()
}

// unpackRows returns the changes of a page.
func unpackRows(page []byte) ([]platform.Change, error) {
	encoded, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(page)), maxPage))
	if err != nil {
		return nil, errs.Wrap(err, "read page of a table", "")
	}
	rows := new(zinccovev1.TableRows)
	if err := proto.Unmarshal(encoded, rows); err != nil {
		return nil, errs.Wrap(err, "decode page of a table", "")
	}
	return decodeChanges(rows.Rows), nil
}
