// Package dialer keeps gRPC connections to the other processes. A connection on which a
// call ran out of time is replaced for later calls, since something between the two ends
// may have lost track of it; calls still running on it are left to finish.
package dialer
