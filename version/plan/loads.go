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
	// Cold endpoints bear less until they have completed some work.
	Cold bool `json:"cold"`
	// Usable endpoints answer and are not leaving.
	Usable bool `json:"usable"`
}

// KindLoad is the number of requests of one kind that are in progress or wait.
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
