// Package pool runs background tasks on a bounded number of workers.
package pool
