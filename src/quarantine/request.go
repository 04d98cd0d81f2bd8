package quarantine

// Request identifies what of a request may crash the replicas that run it.
type Request struct {
	Content Digest
	// Parts are the IDs of the parts of its prompt that other requests may share.
	Parts []string
}
