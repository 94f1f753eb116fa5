// Package routing holds one version of the routing configuration as an
// immutable snapshot: routes by host and longest path prefix, services, and the
// API keys of workspaces. A Table is safe for concurrent use because nothing
// in it changes after New.
package routing
