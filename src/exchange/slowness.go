package exchange

// usualFactor returns how long work takes as a rule relative to the mean replica of the service.
func (o *loadEstimate) usualFactor() float64 { return o.factor * o.usual }

// relativePace returns how long work takes now relative to the replica's usual time.
func (o *loadEstimate) relativePace() float64 { return o.pace / o.usual }

// slowness returns how long work takes now relative to the usual time of the mean replica.
func (o *loadEstimate) slowness() float64 { return o.factor * o.pace }
