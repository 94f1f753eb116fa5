package caller

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// fingerprint identifies what a request asks for, whoever sends it again. Each
// part is preceded by its length, so that parts cannot run into each other.
func fingerprint(workspace, kind, method, uri string, body []byte) uint64 {
	digest := xxhash.New()
	for _, part := range []string{workspace, kind, method, uri} {
		writeLength(digest, len(part))
		_, _ = digest.WriteString(part)
	}
	writeLength(digest, len(body))
	_, _ = digest.Write(body)
	return digest.Sum64()
}

func writeLength(digest *xxhash.Digest, length int) {
	var buffer [8]byte
	binary.LittleEndian.PutUint64(buffer[:], uint64(length))
	_, _ = digest.Write(buffer[:])
}
