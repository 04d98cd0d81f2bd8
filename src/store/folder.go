package store

import (
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/renameio/v2"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/moorspool/moorspool/src/raft"
)

// formatVersion is the version of the data format. A folder with another version is rejected.
const formatVersion = 1

// FounderIncarnation is the incarnation of the first folder of a control node that founded the
// installation.
const FounderIncarnation = "0"

// segmentLimit is the size in bytes at which a new log file is started.
const segmentLimit = 8 << 20

// File names and modes.
const (
	identityFile  = "identity"
	snapshotFile  = "snapshot"
	segmentPrefix = "log-"
	folderMode    = 0o700
	fileMode      = 0o600
)

// Errors that require action by an operator.
var (
	ErrForeign = errors.New("the data folder belongs to another control node or installation")
	ErrVersion = errors.New("the data folder was written by another version of the format")
	ErrDamaged = errors.New("the data folder is damaged before its end; restore it from a backup or replace the disk")
)

// Identity identifies the owner of a data folder.
type Identity struct {
	Version int    `cbor:"1,keyasint" json:"version"`
	Cluster string `cbor:"2,keyasint" json:"cluster"`
	Name    string `cbor:"3,keyasint" json:"name"`
	// Incarnation is different for every data folder of a control node. It is "0" for the first
	// folder of a founder.
	Incarnation string `cbor:"4,keyasint" json:"incarnation"`
	// Founders are the first voters. They are stored in the folders of founders because the
	// settings may list other nodes later.
	Founders []raft.ID `cbor:"5,keyasint,omitempty" json:"founders,omitempty"`
}

// ID returns the Raft ID of the control node that owns the folder.
func (i Identity) ID() raft.ID { return raft.ID(i.Name + "#" + i.Incarnation) }

// File is the subset of os.File used for log files. Tests use it to inject faults.
type File interface {
	Write(p []byte) (int, error)
	Sync() error
	Close() error
}

// Folder is an open data folder. It is not safe for concurrent use.
type Folder struct {
	path     string
	identity Identity
	openFile func(name string) (File, error)
	segment  File
	size     int
	segments []string
	sequence uint64
	// torn is set if the newest log file has to be truncated to size before the first write.
	torn bool
	// folderSynced is set once the names of all files are known to be durable.
	folderSynced bool
	failure      error
	syncs        uint64
}

// Options configures Open.
type Options struct {
	Path    string
	Cluster string
	Name    string
	// Founder makes this node one of the first voters of a new installation if the folder is empty.
	Founder bool
	// Founders are the first voters to store in a founder's new folder.
	Founders []raft.ID
	// OpenFile opens a log file for appending; nil means a file on disk.
	OpenFile func(name string) (File, error)
	// CheckWritable makes Open write and sync a record before it returns.
	CheckWritable bool
}

func openAppend(name string) (File, error) {
	return os.OpenFile(name, os.O_CREATE|os.O_WRONLY|os.O_APPEND, fileMode)
}

// Open opens a data folder, initializes it if it is empty, and returns its contents without a torn
// record at the end. Open fails with ErrForeign, ErrVersion or ErrDamaged.
//
// The contents are read without a sync, which may take as long as a disk hangs: until then a control
// node can already report what it knows to be committed. The first write truncates a torn record and
// makes durable what was read.
func Open(options Options) (*Folder, raft.InitialState, error) {
	f := &Folder{path: options.Path, openFile: options.OpenFile}
	if f.openFile == nil {
		f.openFile = openAppend
	}
	if err := os.MkdirAll(options.Path, folderMode); err != nil {
		return nil, raft.InitialState{}, errors.Wrap(err, "creating the data folder")
	}
	if err := f.loadIdentity(options); err != nil {
		return nil, raft.InitialState{}, err
	}
	start, err := f.load()
	if err != nil {
		return nil, raft.InitialState{}, err
	}
	if start.Snapshot.Index == 0 && len(f.identity.Founders) > 0 {
		start.Snapshot.Members = raft.Members{Voters: f.identity.Founders}
	}
	start.Unsynced = true
	if options.CheckWritable {
		if err := f.Save(&start.HardState, nil); err != nil {
			return nil, raft.InitialState{}, err
		}
		start.Unsynced = false
	}
	return f, start, nil
}

// Identity returns the owner of the folder.
func (f *Folder) Identity() Identity { return f.identity }

// Syncs returns the number of log syncs so far.
func (f *Folder) Syncs() uint64 { return f.syncs }

func (f *Folder) loadIdentity(options Options) error {
	err := f.readIdentity()
	if errors.Is(err, os.ErrNotExist) {
		return f.makeIdentity(options)
	}
	if err != nil {
		return err
	}
	if f.identity.Cluster != options.Cluster || f.identity.Name != options.Name {
		return errors.Wrapf(ErrForeign, "it belongs to %s of %s, the settings say %s of %s", f.identity.Name, f.identity.Cluster, options.Name, options.Cluster)
	}
	return nil
}

func (f *Folder) readIdentity() error {
	data, err := os.ReadFile(filepath.Join(f.path, identityFile))
	if err != nil {
		return errors.Wrap(err, "reading the data folder's identity")
	}
	body, _, ok := nextFrame(data)
	if !ok || cbor.Unmarshal(body, &f.identity) != nil {
		return errors.Wrap(ErrDamaged, identityFile)
	}
	if f.identity.Version != formatVersion {
		return errors.Wrapf(ErrVersion, "format version %d, this program uses version %d", f.identity.Version, formatVersion)
	}
	return nil
}

func (f *Folder) makeIdentity(options Options) error {
	if names, _ := f.segmentNames(); len(names) > 0 {
		return errors.Wrap(ErrDamaged, "there is a log but no identity")
	}
	f.identity = Identity{Version: formatVersion, Cluster: options.Cluster, Name: options.Name, Incarnation: uuid.NewString()[:8]}
	if options.Founder {
		f.identity.Incarnation = FounderIncarnation
		f.identity.Founders = options.Founders
	}
	body, err := cbor.Marshal(f.identity)
	if err != nil {
		return errors.Wrap(err, "encoding the identity")
	}
	return f.replace(identityFile, body)
}

// replace atomically replaces a file through a temporary file and a rename, and syncs the folder.
func (f *Folder) replace(name string, body []byte) error {
	path := filepath.Join(f.path, name)
	if err := renameio.WriteFile(path, appendFrame(nil, body), fileMode); err != nil {
		return errors.Wrapf(err, "writing %s", name)
	}
	return f.syncFolder()
}

func (f *Folder) syncFolder() error {
	folder, err := os.Open(f.path)
	if err != nil {
		return errors.Wrap(err, "syncing the data folder")
	}
	defer folder.Close()
	delaySync(f.path)
	return errors.Wrap(folder.Sync(), "syncing the data folder")
}

func (f *Folder) segmentNames() ([]string, error) {
	files, err := os.ReadDir(f.path)
	if err != nil {
		return nil, errors.Wrap(err, "listing the data folder")
	}
	var names []string
	for _, file := range files {
		if strings.HasPrefix(file.Name(), segmentPrefix) {
			names = append(names, file.Name())
		}
	}
	sort.Strings(names)
	return names, nil
}

// segmentName returns the name of a log file. Names sort by sequence number.
func segmentName(sequence uint64) string { return fmt.Sprintf("%s%020d", segmentPrefix, sequence) }
