// Package routing holds one version of the routing configuration as an
// immutable snapshot: routes by host and longest path prefix, services, and the
// API keys of workspaces. A Table is not modified after New, so it is safe for
// concurrent use.
package routing
