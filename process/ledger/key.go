package ledger

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/stoatmount/stoatmount/request/outcome"
)

// Key identifies a non-idempotent request: its workspace and the caller's
// Idempotency-Key.
type Key string

const (
	// formUUID starts a Key whose caller's part is a UUIDv7.
	formUUID = "u/"
	// formAny starts a Key whose caller's part has no time in it.
	formAny = "a/"
	// maxAhead is how far a key's time may lie ahead of the own clock.
	maxAhead = time.Minute
	// ageMargin is taken off the window where a key's age is checked on
	// arrival, as the claim takes some time and clocks differ.
	ageMargin = 10 * time.Second
	// maxKeyBytes bounds the caller's part of a Key.
	maxKeyBytes = 255
	uuidVersion = 7
)

// ParseKey reads the Idempotency-Key of a request that arrived at now. Keys
// other than UUIDv7 are taken only if anyKey.
func ParseKey(workspace, raw string, anyKey bool, window time.Duration, now time.Time) (Key, *outcome.Refusal) {
	raw = strings.Trim(strings.TrimSpace(raw), `"`)
	id, err := uuid.Parse(raw)
	if err != nil || id.Version() != uuidVersion {
		if !anyKey || raw == "" || len(raw) > maxKeyBytes {
			return "", outcome.NotRun(outcome.BadIdempotencyKey, "the key must be a UUIDv7")
		}
		return Key(formAny + workspace + "/" + raw), nil
	}
	created := uuidTime(id)
	if created.After(now.Add(maxAhead)) {
		return "", outcome.NotRun(outcome.BadIdempotencyKey, "the key's time lies in the future")
	}
	if now.Sub(created) > window-min(ageMargin, window/4) {
		return "", outcome.Unknown(outcome.KeyTooOld, "the key is older than %v", window)
	}
	return Key(formUUID + workspace + "/" + id.String()), nil
}

// uuidTime returns the time of creation in a UUIDv7.
func uuidTime(id uuid.UUID) time.Time {
	ms := int64(0)
	for _, b := range id[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms).UTC()
}

// Created returns the time of creation of k, or false if k has none.
func (k Key) Created() (time.Time, bool) {
	rest, ok := strings.CutPrefix(string(k), formUUID)
	if !ok {
		return time.Time{}, false
	}
	id, err := uuid.Parse(rest[strings.LastIndexByte(rest, '/')+1:])
	if err != nil {
		return time.Time{}, false
	}
	return uuidTime(id), true
}

// Shard returns the shard of k among shards.
func (k Key) Shard(shards int) int {
	if shards <= 0 {
		return 0
	}
	return int(xxhash.Sum64String(string(k)) % uint64(shards))
}
