// Command sedgespread runs a driver and provides the operator's command line.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
	"github.com/sirupsen/logrus"
)

// commandLine has the flags and commands. Without a command, the driver is run.
type commandLine struct {
	LogFormat string `enum:"text,json" default:"text" env:"SEDGESPREAD_LOG_FORMAT" help:"Log format: text or json."`
	LogLevel  string `enum:"debug,info,warn,error" default:"info" env:"SEDGESPREAD_LOG_LEVEL" help:"Minimum log level: debug, info, warn or error."`

	Serve   serveCommand   `cmd:"" default:"withargs" help:"Run the driver (the default). Configured by GW_NAME, GW_LISTEN, GW_DISCOVERY and GW_CONFIG."`
	Check   checkCommand   `cmd:"" help:"Validate an operator's file. Errors are reported with line and field."`
	Cells   cellsCommand   `cmd:"" help:"Show and change the placement of tenants in cells, through a running instance."`
	Fleet   fleetCommand   `cmd:"" help:"Show and change the shared state of the fleet, through a running instance."`
	Emulate emulateCommand `cmd:"" help:"Run trials on an emulated fleet on this machine. No other setup is needed."`
	Version versionCommand `cmd:"" help:"Print the version."`
}

const description = "A routing service for reads and writes in a replicated store.\n\n" +
	"New here? `sedgespread emulate demo` starts a small emulated fleet with a driver in front."

func main() {
	var cli commandLine
	kongContext := kong.Parse(&cli, kong.Name("sedgespread"), kong.Description(description), kong.UsageOnError(),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true, WrapUpperBound: 100}))
	if err := kongContext.Run(cli.newLogger()); err != nil {
		fmt.Fprintln(os.Stderr, "sedgespread:", err)
		os.Exit(1)
	}
}

// newLogger returns a logger with the format and level of the command line.
func (cli *commandLine) newLogger() *logrus.Logger {
	logger := logrus.New()
	logger.SetFormatter(&logrus.TextFormatter{DisableTimestamp: true, DisableColors: true})
	if cli.LogFormat == "json" {
		logger.SetFormatter(&logrus.JSONFormatter{})
	}
	level, err := logrus.ParseLevel(cli.LogLevel)
	if err == nil {
		logger.SetLevel(level)
	}
	return logger
}
