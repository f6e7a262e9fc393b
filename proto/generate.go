// Package proto holds the schemas of what operators write and of what is recorded.
package proto

//go:generate protoc --proto_path=.. --go_out=.. --go_opt=module=sedgespread proto/operator.proto
