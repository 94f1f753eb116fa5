// Package routing holds one version of the routing configuration as an
// immutable snapshot: routes by host and longest path prefix, services, and the
// API keys of workspaces. Its types are those of the platform's format, not of
// package config. A Table is not modified after New, so concurrent use is safe.
package routing
