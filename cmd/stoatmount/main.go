// Command stoatmount is the router process of an entry host.
package main

import (
	"os"

	"github.com/stoatmount/stoatmount/process/run"
)

func main() {
	os.Exit(run.Main(os.Args[1:], os.Stdout, os.Stderr))
}
