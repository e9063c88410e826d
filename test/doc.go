// Package test holds the tests that start the real programs on loopback: processes are
// killed, frozen and cut off with signals and relays, as hosts are.
package test
