// Package emulator emulates the systems around moorspool for tests and the demo: model engines,
// plain services, the weight store and the platform's host list. Faults can be switched on in each
// of them. The package also holds the load tool, which checks the answers that clients receive and
// what the emulators observed.
package emulator
