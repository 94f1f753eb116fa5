// Package admissionsim measures how routers admit work to endpoints: overrun and
// capacity lost in handovers, cold starts, and what membership costs. Runs use
// a virtual clock and fixed seeds; small models stand for the endpoints.
package admissionsim
