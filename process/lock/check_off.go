//go:build !lockcheck

package lock

func acquire(int, string) {}

func release(int) {}
