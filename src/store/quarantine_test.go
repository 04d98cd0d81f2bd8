package store

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/quarantine"
)

// TestQuarantineIsLoadedAsSaved: a missing file has no entries, and a damaged one is an error
// of Load alone.
func TestQuarantineIsLoadedAsSaved(t *testing.T) {
	is := is.New(t)
	path := t.TempDir()
	folder, _, err := Open(testOptions(path))
	is.NoErr(err)
	defer folder.Close()
	file := folder.Quarantine()
	none, err := file.Load()
	is.NoErr(err)
	is.Equal(len(none), 0)
	entries := []quarantine.Entry{{Digest: quarantine.Content{Target: "/x"}.Digest(), Round: 2, Failures: []string{"i-1@7", "i-2@9"}, AgeMS: 1500}}
	is.NoErr(file.Save(entries))
	saved, err := folder.Quarantine().Load()
	is.NoErr(err)
	is.Equal(saved, entries)
	is.NoErr(os.WriteFile(filepath.Join(path, quarantineFile), []byte("damaged"), 0o600))
	_, err = file.Load()
	is.True(err != nil)
}
