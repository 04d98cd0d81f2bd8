package emulator

import (
	"context"
	"sync"
	"testing"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/moorspool/moorspool/src/config"
)

// Statistics were read without the lock of the memory that they count; the race detector shows it.
func TestStatisticsAreReadUnderTheLock(t *testing.T) {
	e := NewEngine(EngineOptions{Host: "h", Capacity: []config.Bytes{10}})
	var work sync.WaitGroup
	work.Go(func() {
		for range 100 {
			e.memory.mu.Lock()
			e.memory.loads++
			e.memory.mu.Unlock()
		}
	})
	for range 100 {
		e.stats(context.Background(), app.NewContext(0))
	}
	work.Wait()
}
