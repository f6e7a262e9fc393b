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

type serve struct {
	Operator string `placeholder:"FILE" env:"GW_OPERATOR" help:"The operator's file; nothing of it is on without one."`
}

// Run serves until SIGTERM or SIGINT, and reads its files again on SIGHUP.
func (s *serve) Run(log *logrus.Logger) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	reload := make(chan os.Signal, 1) // one that waits stands for all: the files are read after it
	signal.Notify(reload, syscall.SIGHUP)
	posting, err := program.ReadConfig(func(name string) string {
		if name == "GW_OPERATOR" {
			return s.Operator
		}
		return os.Getenv(name)
	})
	if err != nil {
		return err
	}
	posting.ApplyLimits()
	return program.Run(ctx, posting, reload, log.WithField("driver", posting.Name))
}

type check struct {
	File string `arg:"" help:"The operator's file."`
}

// Run checks a file as serve does.
func (c *check) Run() error {
	orders, err := operator.Read(c.File)
	if err != nil {
		return err
	}
	fmt.Printf("%s: good: %s\n", c.File, orders.Summary())
	return nil
}

type versionOnly struct{}

// Run prints what the build knows of itself.
func (versionOnly) Run() error {
	version, revision, runtime := "unreleased", "", ""
	if info, ok := debug.ReadBuildInfo(); ok {
		runtime = info.GoVersion
		if info.Main.Version != "" && info.Main.Version != "(devel)" {
			version = info.Main.Version
		}
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				revision = " " + s.Value
			}
		}
	}
	fmt.Printf("sedgespread %s%s %s\n", version, revision, runtime)
	return nil
}
