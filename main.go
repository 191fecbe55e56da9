// Command wasabideal is a layer-4 load balancer for fleets whose configuration changes all at once.
package main

import (
	"os"

	"wasabideal/cmd"
)

func main() { os.Exit(cmd.Main(os.Args[1:])) }
