package peers

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/pkg/errors"
)

const (
	// compressAbove is the size above which a datagram is compressed: one that fits
	// into a packet gains nothing.
	compressAbove = 1200
	// compressedMarker is the first byte of a compressed datagram; others begin with a JSON object.
	compressedMarker = 0x01
	// maxDecompressedBytes bounds the size of a decompressed datagram.
	maxDecompressedBytes = 4 << 20
)

// compress compresses a datagram that does not fit into one packet.
func compress(data []byte) []byte {
	if len(data) <= compressAbove {
		return data
	}
	var out bytes.Buffer
	out.WriteByte(compressedMarker)
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return data // only an invalid level is an error
	}
	if _, err := w.Write(data); err != nil {
		return data
	}
	if err := w.Close(); err != nil {
		return data
	}
	return out.Bytes()
}

// decompress is the inverse of compress.
func decompress(data []byte) ([]byte, error) {
	if len(data) == 0 || data[0] != compressedMarker {
		return data, nil
	}
	out, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data[1:])), maxDecompressedBytes+1))
	if err == nil && len(out) > maxDecompressedBytes {
		err = errors.New("decompressed datagram exceeds the limit")
	}
	return out, errors.Wrap(err, "unpack")
}
