package loadview

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/pkg/errors"
)

// Packed states begin with a byte that holds the size of each entry. A later build may append
// fields to entries; earlier ones skip them. An entry consists of
//
//	8 bytes  key of the replica
//	1 byte   running requests
//	1 byte   waiting requests
//	1 byte   slots, 0 if unknown
//	1 byte   pace in steps of 1/paceSteps, 0 if unknown
//	2 bytes  factor in thousandths
//	2 bytes  age of the told load in milliseconds, untold if there is none
const (
	stateBytes = 8 + 1 + 1 + 1 + 1 + 2 + 2
	paceSteps  = 25
	untold     = math.MaxUint16
)

// keyedState is the state of the replica with a key.
type keyedState struct {
	key   uint64
	state ReplicaState
}

// appendState appends a packed state, and first the size of entries if there is none yet. Values
// beyond the range of a field are set to its bounds.
func appendState(packed []byte, key uint64, s *ReplicaState) []byte {
	if len(packed) == 0 {
		packed = append(packed, stateBytes)
	}
	packed = binary.BigEndian.AppendUint64(packed, key)
	packed = append(packed, toByte(s.Running), toByte(s.Waiting), toByte(s.Slots), toByte(round(s.Pace*paceSteps)))
	factor := min(max(round(s.Factor*permille), 1), math.MaxUint16)
	packed = binary.BigEndian.AppendUint16(packed, uint16(factor))
	age := uint16(untold)
	if s.Told {
		age = uint16(min(s.Age.Milliseconds(), untold-1))
	}
	return binary.BigEndian.AppendUint16(packed, age)
}

func toByte(value int) byte { return byte(min(max(value, 0), math.MaxUint8)) }

// UnpackStates calls f for each packed state. It returns an error and calls nothing if the packed
// states are invalid.
func UnpackStates(packed []byte, f func(key uint64, state ReplicaState)) error {
	if len(packed) == 0 {
		return nil
	}
	size, data := int(packed[0]), packed[1:]
	if size < stateBytes || len(data)%size != 0 {
		return errors.Errorf("%d bytes are not a list of states of %d bytes", len(data), size)
	}
	states := make([]keyedState, 0, len(data)/size)
	for ; len(data) > 0; data = data[size:] {
		state, err := unpackState(data)
		if err != nil {
			return err
		}
		states = append(states, state)
	}
	for i := range states {
		f(states[i].key, states[i].state)
	}
	return nil
}

// unpackState decodes the entry at the start of the data.
func unpackState(data []byte) (keyedState, error) {
	factor, age := binary.BigEndian.Uint16(data[12:]), binary.BigEndian.Uint16(data[14:])
	if factor == 0 {
		return keyedState{}, errors.New("a state has no factor")
	}
	state := ReplicaState{
		Running: int(data[8]),
		Waiting: int(data[9]),
		Slots:   int(data[10]),
		Pace:    float64(data[11]) / paceSteps,
		Factor:  float64(factor) / permille,
	}
	if age != untold {
		state.Told, state.Age = true, time.Duration(age)*time.Millisecond
	}
	return keyedState{key: binary.BigEndian.Uint64(data), state: state}, nil
}
