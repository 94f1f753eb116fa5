// Package credentials loads the certificates and keys that the settings name.
package credentials
