package plan

// Loads is the load of the fleet at one moment.
type Loads struct {
	Endpoints []EndpointLoad `json:"endpoints"`
	Kinds     []KindLoad     `json:"kinds"`
	Hosts     []HostLoad     `json:"hosts"`
}

// EndpointLoad is the load of one endpoint.
type EndpointLoad struct {
	Name       string `json:"name"`
	InProgress int    `json:"in_progress"`
	Waiting    int    `json:"waiting"`
	// Cold endpoints have less capacity until they have served some requests.
	Cold bool `json:"cold"`
	// Usable endpoints are reachable, not draining and in service.
	Usable bool `json:"usable"`
}

// KindLoad is the number of requests of one kind in progress or waiting.
type KindLoad struct {
	Kind  string `json:"kind"`
	Count int    `json:"count"`
}

// HostLoad is the load of one entry host.
type HostLoad struct {
	Name       string `json:"name"`
	Zone       string `json:"zone"`
	InProgress int    `json:"in_progress"`
}
