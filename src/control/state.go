package control

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/moorspool/moorspool/src/config"
	"github.com/moorspool/moorspool/src/raft"
	"github.com/moorspool/moorspool/src/wire"
)

// Limits on the retained change history.
const (
	maxDeletions = 4096
	maxChangeIDs = 16384
)

// deletion records that an object was deleted, so that delta updates can include it.
type deletion struct {
	Key      config.Key
	Revision config.Revision
	By       string
}

// answered records the revision at which a change was accepted, so that a resent change gets the
// same answer.
type answered struct {
	ID       string
	Revision config.Revision
}

// savedState is the serialized form of State in a snapshot.
type savedState struct {
	Clock     time.Time         `cbor:"1,keyasint"`
	Revision  config.Revision   `cbor:"2,keyasint"`
	Objects   []config.Object   `cbor:"3,keyasint"`
	Deletions []deletion        `cbor:"4,keyasint"`
	Answers   []answered        `cbor:"5,keyasint"`
	Renewed   map[string]uint64 `cbor:"6,keyasint"`
	Claims    *claims           `cbor:"7,keyasint"`
	Document  document          `cbor:"8,keyasint"`
	// Extensions is absent from snapshots of versions without client accounts.
	Extensions map[string]float64 `cbor:"9,keyasint,omitempty"`
	// Zones is absent from snapshots of versions that can't drain zones.
	Zones zoneStates `cbor:"10,keyasint,omitempty"`
}

// State is the replicated state machine: applying the same entries in the same order gives the same
// state on every control node. It is not safe for concurrent use.
type State struct {
	clock     time.Time
	set       *config.Set
	deletions []deletion
	// prunedRevision is the revision of the newest deletion that has been pruned from deletions.
	prunedRevision config.Revision
	answers        []answered
	byID           map[string]config.Revision
	renewed        map[string]uint64
	claims         *claims
	document       document
	// extensions holds the units that client accounts may use at once beyond their rates. The map
	// is copied on write, so readers may keep a reference to it.
	extensions map[string]float64
	// zones holds every zone that has ever been drained; drains is the read-only summary that is
	// handed out to readers.
	zones  zoneStates
	drains *wire.ZoneDrains
}

// NewState returns the empty state that precedes the first log entry.
func NewState() *State {
	return &State{
		set:     config.NewSet(config.Revision{}, nil),
		byID:    map[string]config.Revision{},
		renewed: map[string]uint64{},
		claims:  newClaims(),
		zones:   zoneStates{},
		drains:  &wire.ZoneDrains{},
	}
}

// Set returns the current configuration.
func (s *State) Set() *config.Set { return s.set }

// Claims returns the number of retained claims.
func (s *State) Claims() int { return len(s.claims.Keys) }

// Apply applies a committed log entry.
func (s *State) Apply(entry raft.Entry) result {
	if entry.Kind != raft.EntryCommand || len(entry.Data) == 0 {
		return result{outcome: wire.Accepted}
	}
	var cmd command
	if err := cbor.Unmarshal(entry.Data, &cmd); err != nil {
		return result{outcome: wire.Refused, reason: err.Error()}
	}
	if cmd.At.After(s.clock) {
		s.clock = cmd.At
	}
	s.claims.sweep(s.clock)
	revision := config.Revision{Term: entry.Term, Index: entry.Index}
	switch {
	case cmd.Change != nil:
		return s.applyChange(revision, cmd.Change)
	case cmd.Grant != nil:
		return s.applyGrant(revision, cmd.Grant)
	case cmd.Claim != nil:
		return s.claims.apply(s.clock, cmd.Claim)
	case cmd.Settle != nil:
		return s.claims.settle(cmd.Settle)
	case cmd.Document != nil:
		return s.document.apply(cmd.Document)
	case cmd.Extension != nil:
		return s.applyExtension(cmd.Extension)
	case cmd.Zone != nil:
		return s.applyZone(cmd.Zone)
	}
	return result{outcome: wire.Refused, reason: "the command is of a later version"}
}

// AcceptedRevision returns the revision at which the change with the given ID was accepted, if that
// is still remembered.
func (s *State) AcceptedRevision(id string) (config.Revision, bool) {
	revision, found := s.byID[id]
	return revision, found
}

// Conflicts returns the objects of a change that have been modified or deleted since its base
// revision.
func (s *State) Conflicts(change config.Change) []wire.Conflict {
	var found []wire.Conflict
	for _, key := range change.Keys() {
		if object, exists := s.set.Get(key); exists && change.Base.Before(object.Revision) {
			found = append(found, wire.Conflict{Key: key, Revision: object.Revision, By: object.By})
		}
		for _, deleted := range s.deletions {
			if deleted.Key == key && change.Base.Before(deleted.Revision) {
				found = append(found, wire.Conflict{Key: key, Revision: deleted.Revision, By: deleted.By})
			}
		}
	}
	return found
}

func (s *State) applyChange(revision config.Revision, cmd *changeCommand) result {
	change := cmd.Change
	if known, again := s.byID[change.ID]; again {
		return result{outcome: wire.Accepted, revision: known}
	}
	if conflicts := s.Conflicts(change); len(conflicts) > 0 {
		return result{outcome: wire.Conflicted, conflicts: conflicts}
	}
	if cmd.Checked != s.set.Revision() {
		return result{outcome: wire.Refused, raced: true}
	}
	put := append(append([]config.Object(nil), change.Put...), cmd.Assign...)
	remove := append(append([]config.Key(nil), change.Delete...), cmd.Unassign...)
	s.put(revision, change.By, put, remove)
	s.recordAnswer(answered{ID: change.ID, Revision: revision})
	return result{outcome: wire.Accepted, revision: revision}
}

// put applies puts and deletions to the configuration at a new revision.
func (s *State) put(revision config.Revision, by string, put []config.Object, remove []config.Key) {
	for i := range put {
		put[i].Revision = revision
		put[i].By = by
	}
	for _, key := range remove {
		s.deletions = append(s.deletions, deletion{Key: key, Revision: revision, By: by})
	}
	if extra := len(s.deletions) - maxDeletions; extra > 0 {
		s.prunedRevision = s.deletions[extra-1].Revision
		s.deletions = append([]deletion(nil), s.deletions[extra:]...)
	}
	next, _ := s.set.Apply(config.Update{From: s.set.Revision(), To: revision, Put: put, Delete: remove})
	s.set = next
}

func (s *State) recordAnswer(answer answered) {
	s.answers = append(s.answers, answer)
	s.byID[answer.ID] = answer.Revision
	for len(s.answers) > maxChangeIDs {
		delete(s.byID, s.answers[0].ID)
		s.answers = s.answers[1:]
	}
}

func (s *State) applyGrant(revision config.Revision, cmd *grantCommand) result {
	current := config.Authority{}
	if held := s.set.Authority(cmd.Zone); held != nil {
		current = *held
	}
	if cmd.Epoch == current.Epoch && cmd.Holder == current.Holder && cmd.Epoch != 0 {
		s.renewed[cmd.Zone] = revision.Index
		return result{outcome: wire.Accepted, epoch: cmd.Epoch, renewed: cmd.Zone}
	}
	if cmd.Epoch != current.Epoch+1 || cmd.Renewed != s.renewed[cmd.Zone] {
		return result{outcome: wire.Refused, epoch: current.Epoch, reason: "held by " + current.Holder}
	}
	s.renewed[cmd.Zone] = revision.Index
	granted := config.Authority{Epoch: cmd.Epoch, Holder: cmd.Holder, Address: cmd.Address}
	object := config.Object{Key: config.Key{Kind: config.KindAuthority, Name: cmd.Zone}, Authority: &granted}
	s.put(revision, cmd.Holder, []config.Object{object}, nil)
	return result{outcome: wire.Accepted, epoch: cmd.Epoch, renewed: cmd.Zone}
}

func (s *State) applyExtension(cmd *extensionCommand) result {
	next := make(map[string]float64, len(s.extensions)+1)
	for account, units := range s.extensions {
		next[account] = units
	}
	next[cmd.Account] = cmd.Units
	if cmd.Units <= 0 {
		delete(next, cmd.Account)
	}
	s.extensions = next
	return result{outcome: wire.Accepted}
}

// Renewed returns the log index of the last grant or renewal of a zone's lease.
func (s *State) Renewed(zone string) uint64 { return s.renewed[zone] }

// Since returns the update from a revision to the current one. It is a delta if all deletions since
// that revision are still remembered, and the full configuration otherwise.
func (s *State) Since(from config.Revision) config.Update {
	update := config.Update{From: from, To: s.set.Revision()}
	if (from == config.Revision{}) || from.Before(s.prunedRevision) {
		return s.set.Full()
	}
	for _, object := range s.set.Objects() {
		if from.Before(object.Revision) {
			update.Put = append(update.Put, object)
		}
	}
	for _, deleted := range s.deletions {
		if _, back := s.set.Get(deleted.Key); from.Before(deleted.Revision) && !back {
			update.Delete = append(update.Delete, deleted.Key)
		}
	}
	return update
}

// Save serializes the state for a snapshot.
func (s *State) Save() ([]byte, error) {
	saved := savedState{
		Clock:     s.clock,
		Revision:  s.set.Revision(),
		Objects:   s.set.Objects(),
		Deletions: s.deletions,
		Answers:   s.answers,
		Renewed:   s.renewed,
		Claims:    s.claims,
		Document:  s.document,

		Extensions: s.extensions,
		Zones:      s.zones,
	}
	data, err := stateEncMode.Marshal(saved)
	return data, errors.Wrap(err, "encoding the state")
}

// stateEncMode encodes maps in a deterministic order, so that equal states have equal encodings.
var stateEncMode = func() cbor.EncMode {
	options := cbor.CoreDetEncOptions()
	options.Time = cbor.TimeRFC3339NanoUTC
	mode, err := options.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// RestoreState decodes a state written by Save. Empty data gives the initial state.
func RestoreState(data []byte) (*State, error) {
	s := NewState()
	if len(data) == 0 {
		return s, nil
	}
	var saved savedState
	if err := cbor.Unmarshal(data, &saved); err != nil {
		return nil, errors.Wrap(err, "decoding the state")
	}
	s.clock = saved.Clock
	s.set = config.NewSet(saved.Revision, saved.Objects)
	s.deletions = saved.Deletions
	if len(s.deletions) == maxDeletions {
		s.prunedRevision = s.deletions[0].Revision
	}
	s.answers = saved.Answers
	for _, answer := range s.answers {
		s.byID[answer.ID] = answer.Revision
	}
	if saved.Renewed != nil {
		s.renewed = saved.Renewed
	}
	if saved.Claims != nil {
		s.claims = saved.Claims
	}
	s.claims.restore()
	s.document = saved.Document
	s.extensions = saved.Extensions
	if saved.Zones != nil {
		s.zones = saved.Zones
	}
	s.drains = s.zones.drains()
	return s, nil
}
