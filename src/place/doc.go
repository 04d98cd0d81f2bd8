// Package place decides where models sit: which availability zones a model
// lives in, and which accelerators of a zone hold its copies. Everything in it
// is a pure function of what it is given.
package place
