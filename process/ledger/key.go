package ledger

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/stoatmount/stoatmount/request/outcome"
)

// Key identifies a non-idempotent request: its workspace and the caller's Idempotency-Key.
type Key string

const (
	// uuidPrefix is the prefix of a Key whose Idempotency-Key is a UUIDv7.
	uuidPrefix = "u/"
	// anyPrefix is the prefix of a Key whose Idempotency-Key contains no time.
	anyPrefix = "a/"
	// maxClockAhead is how far a key's time may be ahead of the local clock and of the log's.
	maxClockAhead = time.Minute
	// ageMargin, or a quarter of a short window, is subtracted from the window
	// where a key's age is checked on arrival, as the claim takes some time and
	// clocks differ.
	ageMargin = 10 * time.Second
	// maxKeyBytes bounds the length of the Idempotency-Key.
	maxKeyBytes = 255
	uuidVersion = 7
)

// ParseKey parses the Idempotency-Key of a request that arrived at now. Keys
// other than UUIDv7 are accepted only if anyKey is set.
func ParseKey(workspace, raw string, anyKey bool, window time.Duration, now time.Time) (Key, *outcome.Refusal) {
	raw = strings.Trim(strings.TrimSpace(raw), `"`)
	id, err := uuid.Parse(raw)
	if err != nil || id.Version() != uuidVersion {
		if !anyKey || raw == "" || len(raw) > maxKeyBytes {
			return "", outcome.NotRun(outcome.BadIdempotencyKey, "the key must be a UUIDv7")
		}
		return Key(anyPrefix + workspace + "/" + raw), nil
	}
	created := uuidTime(id)
	if created.After(now.Add(maxClockAhead)) {
		return "", outcome.NotRun(outcome.BadIdempotencyKey, "the key's time lies in the future")
	}
	if now.Sub(created) > window-min(ageMargin, window/4) {
		return "", outcome.Unknown(outcome.KeyTooOld, "the key is older than %v", window)
	}
	return Key(uuidPrefix + workspace + "/" + id.String()), nil
}

// uuidTime returns the time of creation of a UUIDv7.
func uuidTime(id uuid.UUID) time.Time {
	ms := int64(0)
	for _, b := range id[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms).UTC()
}

// Created returns the time of creation of k, or false if k contains none.
func (k Key) Created() (time.Time, bool) {
	rest, ok := strings.CutPrefix(string(k), uuidPrefix)
	if !ok {
		return time.Time{}, false
	}
	id, err := uuid.Parse(rest[strings.LastIndexByte(rest, '/')+1:])
	if err != nil {
		return time.Time{}, false
	}
	return uuidTime(id), true
}

// Shard returns the index of the shard of k, from 0 to shards-1.
func (k Key) Shard(shards int) int {
	if shards <= 0 {
		return 0
	}
	return int(xxhash.Sum64String(string(k)) % uint64(shards))
}
