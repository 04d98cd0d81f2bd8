// Package work estimates how long requests occupy the replicas of an engine: the time to read the
// part of a prompt that is not cached, and the time to generate the expected output. Speeds are
// learned by model, and each replica has a factor that is learned from all of its models.
package work
