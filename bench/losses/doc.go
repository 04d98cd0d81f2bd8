// Command losses says from a played day's log which requests were lost or late, at
// which moments and for what reason.
//
//	fleetbench run SITE DAY --log all > day.log
//	go run ./bench/losses --pause 250ms --target 400ms < day.log
//
// It counts requests, not worth: what a kind of request is worth is not in the log.
package main
