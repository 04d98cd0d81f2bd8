// Package fault simulates network cuts between a process and some addresses, for tests and the
// demo, without a change to the machine's network. A Cut works only if the settings allow it, Links only in
// tests and soak builds.
package fault
