package outcome

import "net/http"

// Code is a numbered result code. Numbers are stable: a retired code is never
// reused. docs/CODES.md lists all codes.
type Code int

// Result codes. 1xxx: the request was at fault. 2xxx: load and limits. 3xxx:
// the fleet or its configuration. 4xxx: endpoints. 5xxx: non-idempotent
// requests. 6xxx: requests by operators.
const (
	OK Code = 0

	BadRequest        Code = 1001
	BadKind           Code = 1002
	BadDeadline       Code = 1003
	BadWorkspaceKey   Code = 1004
	BodyTooLarge      Code = 1005
	HeadersTooLarge   Code = 1006
	BodyTooSlow       Code = 1007
	MethodNotAllowed  Code = 1008
	NotFound          Code = 1009
	BadIdempotencyKey Code = 1010
	KeyRequired       Code = 1011
	BadModel          Code = 1012
	CallerGone        Code = 1013
	OtherWorkspace    Code = 1014

	TooManyConnections Code = 2001
	Overloaded         Code = 2002
	DeadlineTooShort   Code = 2003
	DeadlinePassed     Code = 2004
	WorkspaceOverShare Code = 2005
	RetryBudgetSpent   Code = 2006
	EndpointAtCap      Code = 2007
	EndpointCold       Code = 2008
	EndpointLimited    Code = 2009

	Draining          Code = 3001
	StaleConfig       Code = 3002
	NoConfig          Code = 3003
	OwnerUnreachable  Code = 3004
	NotOwner          Code = 3005
	LogUnavailable    Code = 3006
	InternalInvariant Code = 3007
	UnknownRouter     Code = 3008
	TooLateToBegin    Code = 3009

	NoEndpoint       Code = 4001
	EndpointOut      Code = 4002
	EndpointRefused  Code = 4003
	EndpointFailed   Code = 4004
	EndpointSilent   Code = 4005
	AnswerTruncated  Code = 4006
	AnswerCrossed    Code = 4007
	BreakerOpen      Code = 4008
	RequestConvicted Code = 4009
	BodyQuarantined  Code = 4010
	OriginUnknown    Code = 4011
	PartQuarantined  Code = 4012

	KeyInProgress Code = 5001
	KeyTooOld     Code = 5002
	KeyReused     Code = 5003
	ResultLost    Code = 5004
	ClaimFailed   Code = 5005
	AnswerNotHeld Code = 5006

	OperatorUnauthorised Code = 6001
	VersionConflict      Code = 6002
	ConfigInvalid        Code = 6003
	UnknownName          Code = 6004
	AcceptUnknown        Code = 6005
	RestoreNeeded        Code = 6006
)

// Info describes a code for responses and for docs/CODES.md.
type Info struct {
	Code   Code
	Name   string // stable identifier in logs and metrics
	Status int    // HTTP status of the response
	Text   string // one sentence for the caller
}

// codes lists every code once, in numeric order.
var codes = []Info{
	{OK, "ok", http.StatusOK, "The request was served."},
	{BadRequest, "bad_request", http.StatusBadRequest, "The request could not be read."},
	{BadKind, "bad_kind", http.StatusBadRequest, "The kind of request is missing or unknown."},
	{BadDeadline, "bad_deadline", http.StatusBadRequest, "The deadline is not a whole number of milliseconds within the allowed range."},
	{BadWorkspaceKey, "bad_workspace_key", http.StatusUnauthorized, "The workspace is unknown or its key does not match."},
	{BodyTooLarge, "body_too_large", http.StatusRequestEntityTooLarge, "The body is larger than the limit."},
	{HeadersTooLarge, "headers_too_large", http.StatusRequestHeaderFieldsTooLarge, "The headers are larger than the limit."},
	{BodyTooSlow, "body_too_slow", http.StatusRequestTimeout, "The body did not arrive in time."},
	{MethodNotAllowed, "method_not_allowed", http.StatusMethodNotAllowed, "The method is not allowed on this path."},
	{NotFound, "not_found", http.StatusNotFound, "The path or the service does not exist."},
	{BadIdempotencyKey, "bad_idempotency_key", http.StatusBadRequest, "The Idempotency-Key is not a UUIDv7."},
	{KeyRequired, "key_required", http.StatusBadRequest, "This kind of request needs an Idempotency-Key."},
	{BadModel, "bad_model", http.StatusBadRequest, "The model is not the one that this kind uses."},
	{CallerGone, "caller_gone", 499, "The caller closed the connection."},
	{OtherWorkspace, "other_workspace", http.StatusForbidden, "The chat or key belongs to another workspace."},

	{TooManyConnections, "too_many_connections", http.StatusServiceUnavailable, "The entry host has too many connections."},
	{Overloaded, "overloaded", http.StatusServiceUnavailable, "No capacity is left for this kind of request."},
	{DeadlineTooShort, "deadline_too_short", http.StatusServiceUnavailable, "The request can no longer be served within its deadline."},
	{DeadlinePassed, "deadline_passed", http.StatusGatewayTimeout, "The deadline passed before the answer was complete."},
	{WorkspaceOverShare, "workspace_over_share", http.StatusTooManyRequests, "The workspace has used its share of the queue."},
	{RetryBudgetSpent, "retry_budget_spent", http.StatusServiceUnavailable, "No retry is allowed at the moment."},
	{EndpointAtCap, "endpoint_at_cap", http.StatusServiceUnavailable, "Every usable endpoint is at its cap."},
	{EndpointCold, "endpoint_cold", http.StatusServiceUnavailable, "The usable endpoints are in a cold start."},
	{EndpointLimited, "endpoint_limited", http.StatusServiceUnavailable, "The usable endpoints take no more requests a second."},

	{Draining, "draining", http.StatusServiceUnavailable, "The entry host is shutting down; use another address."},
	{StaleConfig, "stale_config", http.StatusServiceUnavailable, "The entry host cannot tell whether its configuration is in force."},
	{NoConfig, "no_config", http.StatusServiceUnavailable, "No configuration has been accepted yet."},
	{OwnerUnreachable, "owner_unreachable", http.StatusServiceUnavailable, "The admission owner of the endpoint does not answer."},
	{NotOwner, "not_owner", http.StatusServiceUnavailable, "The asked router is not the admission owner under its view."},
	{LogUnavailable, "log_unavailable", http.StatusServiceUnavailable, "The log service did not answer in time."},
	{InternalInvariant, "internal_invariant", http.StatusInternalServerError, "An internal check failed."},
	{UnknownRouter, "unknown_router", http.StatusServiceUnavailable, "The request came as one of another router, from a host at which none is known."},
	{TooLateToBegin, "too_late_to_begin", http.StatusGatewayTimeout, "The entry host shuts down before the stream would be complete; it was stopped before its first event; use another address."},

	{NoEndpoint, "no_endpoint", http.StatusServiceUnavailable, "No endpoint serves this kind at the moment."},
	{EndpointOut, "endpoint_out", http.StatusServiceUnavailable, "The endpoint was taken out of service."},
	{EndpointRefused, "endpoint_refused", http.StatusServiceUnavailable, "The endpoint refused the request without running it."},
	{EndpointFailed, "endpoint_failed", http.StatusBadGateway, "The endpoint failed while it had the request."},
	{EndpointSilent, "endpoint_silent", http.StatusGatewayTimeout, "The endpoint stopped sending."},
	{AnswerTruncated, "answer_truncated", http.StatusBadGateway, "The answer ended before it was complete."},
	{AnswerCrossed, "answer_crossed", http.StatusBadGateway, "The endpoint answered with the request number of another request."},
	{BreakerOpen, "breaker_open", http.StatusServiceUnavailable, "The circuit breaker of the endpoint is open."},
	{RequestConvicted, "request_convicted", http.StatusUnprocessableEntity, "This request has crashed endpoints and is refused for a while."},
	{BodyQuarantined, "body_quarantined", http.StatusServiceUnavailable, "Requests with this body crashed endpoints; it is refused and has not run."},
	{OriginUnknown, "origin_unknown", http.StatusServiceUnavailable, "It is not known which software version began the stream, so it cannot go on."},
	{PartQuarantined, "part_quarantined", http.StatusServiceUnavailable, "Prompts with a part that this one has crashed endpoints; it is refused and has not run."},

	{KeyInProgress, "key_in_progress", http.StatusConflict, "An earlier request with this key is in progress."},
	{KeyTooOld, "key_too_old", http.StatusConflict, "The key is older than the window within which repeats are recognised."},
	{KeyReused, "key_reused", http.StatusUnprocessableEntity, "The key was used before with a different request."},
	{ResultLost, "result_lost", http.StatusConflict, "An earlier request with this key may have run; its result is not known."},
	{ClaimFailed, "claim_failed", http.StatusServiceUnavailable, "The key could not be claimed in time."},
	{AnswerNotHeld, "answer_not_held", http.StatusConflict, "An earlier request with this key ran; its answer is no longer held."},

	{OperatorUnauthorised, "operator_unauthorised", http.StatusUnauthorized, "The operator's credentials are missing or wrong."},
	{VersionConflict, "version_conflict", http.StatusConflict, "The change was made on a version that is no longer in force."},
	{ConfigInvalid, "config_invalid", http.StatusUnprocessableEntity, "The configuration is not valid."},
	{UnknownName, "unknown_name", http.StatusNotFound, "The configuration has no zone, host or endpoint of this name."},
	{AcceptUnknown, "accept_unknown", http.StatusGatewayTimeout, "Whether the change was accepted is not known yet; ask for the history."},
	{RestoreNeeded, "restore_needed", http.StatusConflict, "Records of the configuration expired before any router read them; restore one with `stoatctl config push --restore`."},
}

var infoByCode = indexCodes()

func indexCodes() map[Code]Info {
	index := make(map[Code]Info, len(codes))
	for _, info := range codes {
		index[info.Code] = info
	}
	return index
}

// Codes returns every code in numeric order.
func Codes() []Info {
	return append([]Info(nil), codes...)
}

// Info returns the description of c. An unlisted code is described as an internal error.
func (c Code) Info() Info {
	if info, ok := infoByCode[c]; ok {
		return info
	}
	return Info{Code: c, Name: "unlisted", Status: http.StatusInternalServerError, Text: "Unlisted code."}
}

// String returns the stable identifier of c.
func (c Code) String() string {
	return c.Info().Name
}
