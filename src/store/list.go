package store

import (
	"os"
	"path/filepath"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// listFile stores a list in a file that is replaced as a whole. It is safe for concurrent use.
type listFile[T any] struct {
	folder *Folder
	name   string
	mu     sync.Mutex
}

// save writes the list. It returns once the list would survive a loss of power.
func (l *listFile[T]) save(list []T) error {
	body, err := cbor.Marshal(list)
	if err != nil {
		return errors.Wrapf(err, "encoding the %s", l.name)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.folder.replace(l.name, body)
}

// load returns the list saved last, or nil if none was saved.
func (l *listFile[T]) load() ([]T, error) {
	data, err := os.ReadFile(filepath.Join(l.folder.path, l.name))
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrapf(err, "reading the %s", l.name)
	}
	body, _, ok := nextFrame(data)
	var list []T
	if !ok || cbor.Unmarshal(body, &list) != nil {
		return nil, errors.Wrap(ErrDamaged, l.name)
	}
	return list, nil
}
