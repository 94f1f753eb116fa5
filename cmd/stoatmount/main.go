// Command stoatmount is the router process of an entry host.
package main

import (
	"os"

	"github.com/stoatmount/stoatmount/process/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
}
