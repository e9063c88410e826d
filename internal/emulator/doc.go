// Package emulator simulates the inference engines behind the gateway in virtual time: how
// long an engine takes to read prompts and to produce answers, and which prompt parts it
// caches. It does no network I/O and makes no scheduling decisions. Tests of scheduling
// policies run on it.
package emulator
