// Package emulator is a model of the systems that the gateway serves, in virtual time: what
// an engine does with prompts and answers, not how it is spoken to. Experiments and tests
// of policies run on it; it has no network and decides nothing.
package emulator
