// Package test holds the end-to-end tests. They start the real programs as processes on
// loopback, kill or suspend them with signals to simulate hosts that fail or become
// unresponsive, and drop data on connections with TCP proxies.
package test
