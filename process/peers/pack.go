package peers

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/pkg/errors"
)

const (
	// packOver is the size from which a datagram is compressed: one that fits into
	// a packet gains nothing.
	packOver = 1200
	// packed is the first byte of a compressed datagram; others begin a JSON object.
	packed = 0x01
	// unpackedBytes bounds what a datagram may become.
	unpackedBytes = 4 << 20
)

// pack compresses a datagram that does not fit into one packet.
func pack(data []byte) []byte {
	if len(data) <= packOver {
		return data
	}
	var out bytes.Buffer
	out.WriteByte(packed)
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return data // only an unknown level is an error
	}
	if _, err := w.Write(data); err != nil {
		return data
	}
	if err := w.Close(); err != nil {
		return data
	}
	return out.Bytes()
}

// unpack returns what was packed.
func unpack(data []byte) ([]byte, error) {
	if len(data) == 0 || data[0] != packed {
		return data, nil
	}
	out, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data[1:])), unpackedBytes+1))
	if err == nil && len(out) > unpackedBytes {
		err = errors.New("datagram over the limit")
	}
	return out, errors.Wrap(err, "unpack")
}
