package logging

import (
	"io"
	"log/slog"

	"github.com/go-logr/logr"
)

// debugLevel is the slog level of logr's V(1).
const debugLevel = slog.Level(-1)

// New returns a logger that writes JSON lines to w. level is "error" or "debug";
// any other value means "info".
func New(w io.Writer, level string) logr.Logger {
	handler := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: slogLevel(level), ReplaceAttr: settingsLevel})
	return logr.FromSlogHandler(handler)
}

func slogLevel(level string) slog.Level {
	switch level {
	case "error":
		return slog.LevelError
	case "debug":
		return debugLevel
	default:
		return slog.LevelInfo
	}
}

// settingsLevel replaces slog's level names by "error", "info" and "debug".
func settingsLevel(_ []string, attr slog.Attr) slog.Attr {
	if attr.Key != slog.LevelKey {
		return attr
	}
	switch level := attr.Value.Any().(slog.Level); {
	case level >= slog.LevelError:
		return slog.String(slog.LevelKey, "error")
	case level >= slog.LevelInfo:
		return slog.String(slog.LevelKey, "info")
	default:
		return slog.String(slog.LevelKey, "debug")
	}
}
