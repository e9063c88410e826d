// Package accepter bounds what connections hold before their request is complete: their number, in all, by listener
// and by address, and the memory that unfinished heads take. When room is needed it closes connections, those that
// have sent nothing first. It reads no heads itself: net/http and grpc-go do, and the package counts what they read.
package accepter
