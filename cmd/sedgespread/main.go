// Command sedgespread is the driver on real sockets, and its operator's commands.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
	"github.com/sirupsen/logrus"
)

// commandLine are those of the command line. Without any, the driver serves.
type commandLine struct {
	LogFormat string `enum:"text,json" default:"text" env:"SEDGESPREAD_LOG_FORMAT" help:"How log lines look: text or json."`
	LogLevel  string `enum:"debug,info,warn,error" default:"info" env:"SEDGESPREAD_LOG_LEVEL" help:"The least level that is logged: debug, info, warn or error."`

	Serve   serveCommand   `cmd:"" default:"withargs" help:"Run the driver (the default). GW_NAME, GW_LISTEN, GW_DISCOVERY and GW_CONFIG tell it where."`
	Check   checkCommand   `cmd:"" help:"Check an operator's file and say what is wrong with it, with line and field."`
	Cells   cellsCommand   `cmd:"" help:"See and change which cells tenants are in, at a running instance."`
	Fleet   fleetCommand   `cmd:"" help:"See and change what the instances of the fleet agree on."`
	Emulate emulateCommand `cmd:"" help:"Try things out on an emulated fleet on this machine. Needs nothing else."`
	Version versionCommand `cmd:"" help:"Print the version."`
}

const description = "A routing service for reads and writes in a replicated store.\n\n" +
	"New here? `sedgespread emulate demo` starts a small emulated fleet with a driver before it."

func main() {
	var cli commandLine
	kongContext := kong.Parse(&cli, kong.Name("sedgespread"), kong.Description(description), kong.UsageOnError(),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true, WrapUpperBound: 100}))
	if err := kongContext.Run(cli.newLogger()); err != nil {
		fmt.Fprintln(os.Stderr, "sedgespread:", err)
		os.Exit(1)
	}
}

// newLogger is the log that the command line asks for. The level is one of those that the command line knows.
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
