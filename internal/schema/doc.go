// Package schema holds the messages and settings that the processes share, generated
// from the .proto files beside it. It contains no logic.
package schema

//go:generate protoc -I . --go_out=. --go_opt=paths=source_relative --go-grpc_out=. --go-grpc_opt=paths=source_relative settings.proto config.proto replication.proto internal.proto gateway.proto
