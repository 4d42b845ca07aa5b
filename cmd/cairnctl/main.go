// Command cairnctl is the command-line client for operators. It validates, publishes and shows the
// object set, issues and withdraws keys, and monitors and drains instances.
package main

import (
	"context"
	"os"
	"os/signal"

	"github.com/cairnworks/cairnworks/operator/ctl"
	"github.com/cairnworks/cairnworks/port"
	"github.com/cairnworks/cairnworks/port/httpport"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	client := httpport.NewClient()
	env := ctl.Env{
		Out: os.Stdout, Err: os.Stderr, HTTP: client,
		OpenLog: func(address string) port.Log { return httpport.NewLog(address, client) },
	}
	os.Exit(ctl.Run(ctx, env, os.Args))
}
