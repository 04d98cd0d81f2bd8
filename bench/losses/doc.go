// Command losses reads the log of a simulated day and prints which requests were lost or late, when
// and why.
//
//	fleetbench run SITE DAY --log all > day.log
//	go run ./bench/losses --pause 250ms --target 400ms < day.log
//
// All requests count alike: the log does not contain the weight that the bench's score gives to a
// kind of request.
package main
