package caller

// Headers of callers' requests and of responses.
const (
	HeaderWorkspace      = "Stoatmount-Workspace"
	HeaderKind           = "Stoatmount-Kind"
	HeaderChat           = "Stoatmount-Chat"
	HeaderDeadlineMs     = "Stoatmount-Deadline-Ms"
	HeaderRequest        = "Stoatmount-Request" // request id, in responses
	HeaderPlace          = "Stoatmount-Place"   // token that names where the chat is cached, in requests and responses
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRepeated       = "Stoatmount-Repeated" // "true" on a stored response
)

// Paths for callers.
const (
	PathAddresses = "/v1/addresses"
	PathChat      = "/v1/chat/completions"
	PathServices  = "/v1/services/:service/*path"
	PathHealth    = "/healthz"
	PathReady     = "/readyz"
)
