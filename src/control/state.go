package control

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/moorspool/moorspool/src/config"
	"github.com/moorspool/moorspool/src/raft"
	"github.com/moorspool/moorspool/src/wire"
)

// The bounds of what is remembered of past changes.
const (
	maxDeletions = 4096
	maxChangeIDs = 16384
)

// deletion remembers that an object went, for deltas.
type deletion struct {
	Key      config.Key
	Revision config.Revision
	By       string
}

// answered remembers a change's answer, for a change that is sent again.
type answered struct {
	ID       string
	Revision config.Revision
}

// savedState is the state as it stands in a snapshot.
type savedState struct {
	Clock     time.Time         `cbor:"1,keyasint"`
	Revision  config.Revision   `cbor:"2,keyasint"`
	Objects   []config.Object   `cbor:"3,keyasint"`
	Deletions []deletion        `cbor:"4,keyasint"`
	Answers   []answered        `cbor:"5,keyasint"`
	Renewed   map[string]uint64 `cbor:"6,keyasint"`
	Claims    *claims           `cbor:"7,keyasint"`
	Document  document          `cbor:"8,keyasint"`
	// Extensions are left out by versions that have no client accounts.
	Extensions map[string]float64 `cbor:"9,keyasint,omitempty"`
	// Zones are left out by versions that can't drain zones.
	Zones zoneStates `cbor:"10,keyasint,omitempty"`
}

// State is the replicated state machine: the same entries in the same order
// give the same state at every control node. It is not safe for concurrent use.
type State struct {
	clock     time.Time
	set       *config.Set
	deletions []deletion
	// forgotten is the revision of the newest deletion that is remembered no more.
	forgotten config.Revision
	answers   []answered
	byID      map[string]config.Revision
	renewed   map[string]uint64
	claims    *claims
	document  document
	// extensions are what client accounts may use at once beyond their rates, in units.
	// The map is replaced and never changed, so that others may read it.
	extensions map[string]float64
	// zones are the zones that were ever ordered about; drains is what others read of them.
	zones  zoneStates
	drains *wire.ZoneDrains
}

// NewState returns the state before the first entry.
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

// Set returns the configuration in force.
func (s *State) Set() *config.Set { return s.set }

// Claims returns the number of claims remembered.
func (s *State) Claims() int { return len(s.claims.Keys) }

// Apply applies one committed entry.
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

// Answered returns the answer that a change got before.
func (s *State) Answered(id string) (config.Revision, bool) {
	revision, found := s.byID[id]
	return revision, found
}

// Conflicts returns the objects of a change that were changed after its base.
func (s *State) Conflicts(change config.Change) []wire.Conflict {
	var found []wire.Conflict
	for _, key := range change.Keys() {
		if object, exists := s.set.Get(key); exists && change.Base.Before(object.Revision) {
			found = append(found, wire.Conflict{Key: key, Revision: object.Revision, By: object.By})
		}
		for _, gone := range s.deletions {
			if gone.Key == key && change.Base.Before(gone.Revision) {
				found = append(found, wire.Conflict{Key: key, Revision: gone.Revision, By: gone.By})
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
	s.remember(answered{ID: change.ID, Revision: revision})
	return result{outcome: wire.Accepted, revision: revision}
}

// put moves the configuration to a new revision.
func (s *State) put(revision config.Revision, by string, put []config.Object, remove []config.Key) {
	for i := range put {
		put[i].Revision = revision
		put[i].By = by
	}
	for _, key := range remove {
		s.deletions = append(s.deletions, deletion{Key: key, Revision: revision, By: by})
	}
	if extra := len(s.deletions) - maxDeletions; extra > 0 {
		s.forgotten = s.deletions[extra-1].Revision
		s.deletions = append([]deletion(nil), s.deletions[extra:]...)
	}
	next, _ := s.set.Apply(config.Update{From: s.set.Revision(), To: revision, Put: put, Delete: remove})
	s.set = next
}

func (s *State) remember(answer answered) {
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

// Renewed returns the log index of a zone's last grant or renewal.
func (s *State) Renewed(zone string) uint64 { return s.renewed[zone] }

// Since returns the update that carries a process from a revision to the
// present: a delta if all that was deleted since is remembered, else all.
func (s *State) Since(from config.Revision) config.Update {
	update := config.Update{From: from, To: s.set.Revision()}
	if (from == config.Revision{}) || from.Before(s.forgotten) {
		return s.set.Full()
	}
	for _, object := range s.set.Objects() {
		if from.Before(object.Revision) {
			update.Put = append(update.Put, object)
		}
	}
	for _, gone := range s.deletions {
		if _, back := s.set.Get(gone.Key); from.Before(gone.Revision) && !back {
			update.Delete = append(update.Delete, gone.Key)
		}
	}
	return update
}

// Save returns the state's bytes for a snapshot.
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
	data, err := saveMode.Marshal(saved)
	return data, errors.Wrap(err, "encoding the state")
}

// saveMode writes maps in a fixed order, so that equal states give equal bytes.
var saveMode = func() cbor.EncMode {
	options := cbor.CoreDetEncOptions()
	options.Time = cbor.TimeRFC3339NanoUTC
	mode, err := options.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// RestoreState returns the state that Save wrote.
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
		s.forgotten = s.deletions[0].Revision
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
