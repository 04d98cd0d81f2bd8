package owner

import "hash/fnv"

// rank returns the rank of a control node as the owner of a model. The node with the highest rank
// is the owner, so that the loss of a node moves only the models that it owned.
func rank(key Key, address string) uint64 {
	h := fnv.New64a()
	// Write never fails for a hash.
	_, _ = h.Write([]byte(key.Service + "\x00" + key.Model + "\x00" + address))
	return mix(h.Sum64())
}

// mix spreads a difference in the last bytes of what was hashed over all bits, which FNV does not.
// It is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
