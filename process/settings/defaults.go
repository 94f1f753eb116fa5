package settings

import (
	"time"

	"github.com/stoatmount/stoatmount/version/config"
)

// Default returns the default settings.
func Default() Settings {
	return Settings{
		Limits: Limits{
			BodyBytes:   4 << 20,
			HeaderBytes: 64 << 10,
			BodyTime:    config.Duration(10 * time.Second),
			Connections: 4096,
			Workers:     2048,
			Drain:       config.Duration(30 * time.Second),
		},
		Member: Membership{
			Tick:      config.Duration(500 * time.Millisecond),
			DeadAfter: config.Duration(4 * time.Second),
			Promise:   config.Duration(2 * time.Second),
			Fresh:     config.Duration(5 * time.Second),
		},
		Log: Log{Level: "info"},
	}
}
