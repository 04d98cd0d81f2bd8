// Package place decides where models are placed: Assign assigns models to availability zones,
// Plan places their copies on the accelerators of one zone. All results depend on the arguments
// alone.
package place
