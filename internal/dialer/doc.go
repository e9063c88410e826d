// Package dialer keeps gRPC connections to the other processes. After a call on a connection
// exceeds its deadline, later calls use a new connection, since a middlebox between the two
// ends may have lost the state of the old one; calls still running on it may finish.
package dialer
