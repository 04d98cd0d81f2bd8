// Package capacity measures what each role costs at several sizes, fits a line
// and works out the letter's size in two years from it.
package capacity
