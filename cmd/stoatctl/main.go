// Command stoatctl is the operators' tool of stoatmount.
package main

import (
	"os"

	"github.com/stoatmount/stoatmount/operate"
)

func main() {
	os.Exit(operate.Main(os.Args[1:], operate.NewEnv()))
}
