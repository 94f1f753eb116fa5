// Package credentials loads certificates and keys that the settings name.
package credentials
