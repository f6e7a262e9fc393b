// Command sedgespread is the driver on real sockets.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"

	"sedgespread/internal/program"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "sedgespread:", err)
		os.Exit(1)
	}
}

func run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	reload := make(chan os.Signal, 1) // one that waits stands for all: the file is read after it
	signal.Notify(reload, syscall.SIGHUP)
	posting, err := program.ReadPosting(os.Getenv)
	if err != nil {
		return err
	}
	posting.Limit()
	log := logrus.New()
	log.SetFormatter(&logrus.TextFormatter{DisableTimestamp: true, DisableColors: true})
	return program.Run(ctx, posting, reload, log.WithField("driver", posting.Name))
}
