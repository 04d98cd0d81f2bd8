package store

import "github.com/moorspool/moorspool/src/quarantine"

// quarantineFile holds the contents under which replicas ended.
const quarantineFile = "quarantine"

// QuarantineFile keeps what a control node knows of contents under which replicas ended, so
// that after a loss of all power they are not sent on anew; it is safe for concurrent use.
type QuarantineFile struct {
	list listFile[quarantine.Entry]
}

// Quarantine returns the folder's file of contents under which replicas ended.
func (f *Folder) Quarantine() *QuarantineFile {
	return &QuarantineFile{list: listFile[quarantine.Entry]{folder: f, name: quarantineFile}}
}

// Save writes the entries and returns once they would survive a loss of power.
func (q *QuarantineFile) Save(entries []quarantine.Entry) error { return q.list.save(entries) }

// Load returns the entries that were saved last, none if there are none yet.
func (q *QuarantineFile) Load() ([]quarantine.Entry, error) { return q.list.load() }
