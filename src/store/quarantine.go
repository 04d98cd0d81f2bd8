package store

import "github.com/moorspool/moorspool/src/quarantine"

// quarantineFile is the file with the suspected and quarantined request contents.
const quarantineFile = "quarantine"

// QuarantineFile stores the quarantine entries of a control node: the request contents that replicas
// were running when they ended. Without it these contents would be sent to replicas again after a
// power loss of all nodes. It is safe for concurrent use.
type QuarantineFile struct {
	list listFile[quarantine.Entry]
}

// Quarantine returns the folder's file of quarantine entries.
func (f *Folder) Quarantine() *QuarantineFile {
	return &QuarantineFile{list: listFile[quarantine.Entry]{folder: f, name: quarantineFile}}
}

// Save writes the entries. It returns once they would survive a loss of power.
func (q *QuarantineFile) Save(entries []quarantine.Entry) error { return q.list.save(entries) }

// Load returns the entries saved last, or none if nothing was saved.
func (q *QuarantineFile) Load() ([]quarantine.Entry, error) { return q.list.load() }
