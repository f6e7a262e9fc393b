package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/sirupsen/logrus"

	"sedgespread/internal/operator"
	"sedgespread/internal/program"
)

type serveCommand struct {
	Operator string `placeholder:"FILE" env:"GW_OPERATOR" help:"The operator's file. Without it, all features that it configures are off."`
}

// Run runs the driver until SIGTERM or SIGINT. SIGHUP reloads its files.
func (s *serveCommand) Run(logger *logrus.Logger) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	reload := make(chan os.Signal, 1) // one pending signal is enough: files are read after it is received
	signal.Notify(reload, syscall.SIGHUP)
	config, err := program.ReadConfig(func(name string) string {
		if name == "GW_OPERATOR" {
			return s.Operator
		}
		return os.Getenv(name)
	})
	if err != nil {
		return err
	}
	config.ApplyLimits()
	return program.Run(ctx, config, reload, logger.WithField("driver", config.Name))
}

type checkCommand struct {
	File string `arg:"" help:"The operator's file."`
}

// Run validates a file as the serve command does.
func (c *checkCommand) Run() error {
	config, err := operator.Read(c.File)
	if err != nil {
		return err
	}
	fmt.Printf("%s: valid: %s\n", c.File, config.Summary())
	return nil
}

type versionCommand struct{}

// Run prints the version, the revision and the Go version of the build.
func (versionCommand) Run() error {
	version, revision, goVersion := "unreleased", "", ""
	if info, ok := debug.ReadBuildInfo(); ok {
		goVersion = info.GoVersion
		if info.Main.Version != "" && info.Main.Version != "(devel)" {
			version = info.Main.Version
		}
		for _, setting := range info.Settings {
			if setting.Key == "vcs.revision" {
				revision = " " + setting.Value
			}
		}
	}
	fmt.Printf("sedgespread %s%s %s\n", version, revision, goVersion)
	return nil
}
