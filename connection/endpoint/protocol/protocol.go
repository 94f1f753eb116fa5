package protocol

// Headers of requests to endpoints and of their responses.
const (
	HeaderRequestID  = "X-Request-Id"    // echoed in the response, also to calls of the other paths
	HeaderPriority   = "X-Priority"      // whole number, larger runs first
	HeaderDeadlineMs = "X-Deadline-Ms"   // time until the deadline, in milliseconds
	HeaderBoot       = "X-Boot"          // incarnation of the endpoint, in responses
	HeaderNotRun     = "X-Not-Run"       // "true" if the request was refused and not executed
	HeaderCached     = "X-Cached-Tokens" // prompt tokens found in the cache, in responses
	HeaderPrompt     = "X-Prompt-Tokens" // prompt tokens, in responses
	HeaderSession    = "X-Session"       // names the chat whose prefix is cached
)

// Paths of an endpoint.
const (
	PathChat        = "/v1/chat/completions"
	PathRequests    = "/v1/requests/" // + id: DELETE cancels; + id + /stream?offset=N resumes
	PathLoad        = "/v1/load"
	PathCacheEvents = "/v1/cache/events" // ?from=N
	PathCacheExport = "/v1/cache/export" // POST CacheExport, returns the cache as bytes
	PathCacheImport = "/v1/cache/import" // POST bytes of an export
	PathOrders      = "/v1/orders"       // POST Order
)

// ChatRequest is the body of a chat completion. Fields that the router does not
// need are passed on unread.
type ChatRequest struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	Stream    bool      `json:"stream,omitempty"`
	MaxTokens int       `json:"max_tokens,omitempty"`
}

// Message is one turn of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatResponse is the response to a chat completion without streaming.
type ChatResponse struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   Usage    `json:"usage"`
}

// Choice is one alternative of a response.
type Choice struct {
	Index        int     `json:"index"`
	Message      Message `json:"message"`
	FinishReason string  `json:"finish_reason"`
}

// Usage counts tokens.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	CachedTokens     int `json:"cached_tokens"`
}

// Chunk is one event of a streamed response. The id of its server-sent event is
// the token's offset, from 0. The stream ends with the event data StreamEnd.
type Chunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Model   string        `json:"model"`
	Choices []ChunkChoice `json:"choices"`
}

// ChunkChoice is one alternative of a Chunk.
type ChunkChoice struct {
	Index        int     `json:"index"`
	Delta        Message `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// StreamEnd is the data of the last event of a complete stream.
const StreamEnd = "[DONE]"

// LoadReport is an endpoint's report of its load and state. It may lag behind.
type LoadReport struct {
	Incarnation uint64  `json:"boot"`
	Running     int     `json:"running"`
	Queued      int     `json:"queued"`
	Completed   uint64  `json:"completed"` // since the start of the process
	FirstToken  float64 `json:"first_token_ms"`
	CacheTokens int     `json:"cache_tokens"`
	CacheUsed   int     `json:"cache_used"`
	Draining    bool    `json:"leaving"`
	Model       string  `json:"model"`
	Version     string  `json:"version"`
	Adapter     string  `json:"adapter"`
	Role        string  `json:"role"`
	Fence       uint64  `json:"fence"`   // highest fencing token accepted
	Loading     bool    `json:"loading"` // an order is in progress
	AgeMs       int64   `json:"age_ms"`  // age of this report
}

// CacheEvent reports that a chat's prefix was stored or evicted.
type CacheEvent struct {
	Seq     uint64 `json:"seq"`
	Session string `json:"session"`
	Tokens  int    `json:"tokens"` // cached length; 0: evicted
}

// CacheEvents is a page of events. A Next larger than the requested sequence
// number plus the number of events means that some were lost.
type CacheEvents struct {
	Incarnation uint64       `json:"boot"`
	Next        uint64       `json:"next"`
	Events      []CacheEvent `json:"events"`
}

// CacheExport identifies the chat whose cache is exported.
type CacheExport struct {
	Session string `json:"session"`
}

// Order sets what an endpoint serves. Fence is a fencing token.
type Order struct {
	Fence   uint64 `json:"fence"`
	Model   string `json:"model"`
	Version string `json:"version"`
	Adapter string `json:"adapter"`
	Role    string `json:"role"`
}
