package route

// Organisation is a customer whose requests share limits and a priority.
type Organisation struct {
	Name          string
	Priority      *int    // Takes precedence over the priority of the route; nil if the route's applies.
	RatePerSecond float64 // Limit of requests per second at all gateways together; zero for none.
	Burst         float64
}
