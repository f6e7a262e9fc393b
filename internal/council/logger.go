package council

import "fmt"

// panicLogger discards raft's log messages and panics on fatal ones, since raft must not continue
// after those.
type panicLogger struct{}

func (panicLogger) Debug(...any)            {}
func (panicLogger) Debugf(string, ...any)   {}
func (panicLogger) Error(...any)            {}
func (panicLogger) Errorf(string, ...any)   {}
func (panicLogger) Info(...any)             {}
func (panicLogger) Infof(string, ...any)    {}
func (panicLogger) Warning(...any)          {}
func (panicLogger) Warningf(string, ...any) {}

func (panicLogger) Fatal(v ...any)                 { panic(fmt.Sprint(v...)) }
func (panicLogger) Fatalf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }
func (panicLogger) Panic(v ...any)                 { panic(fmt.Sprint(v...)) }
func (panicLogger) Panicf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }
