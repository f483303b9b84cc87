//! Header names and refusal words of the HTTP interfaces towards callers and back ends.
//!
//! Callers post to the agent at `/<package>.<Service>/<Method>` with a JSON or protobuf body. The
//! answer is a [`crate::Envelope`] in the encoding that the caller accepts, or else in that of the
//! request: JSON, or [`crate::protobuf::ProtobufEnvelope`].
//!
//! The agent posts to back ends at the same path, over HTTP/2 without TLS (prior knowledge), with
//! the method's request message as protobuf and the attempt's metadata in headers. A reply with
//! status 200 must echo attempt, shard and snapshot; a reply that does not is discarded. A refusal
//! must echo the attempt: one that does not proves nothing about a request that may not be repeated,
//! whose outcome is then unknown. For such a request the caller's [`CALLER`], [`REQUEST_ID`] and
//! [`ISSUED_AT_MS`] go on to the back end, so that it can keep its own record. A cancelled attempt
//! is a reset of its HTTP/2 stream.

/// Content type of protobuf bodies.
pub const CONTENT_TYPE_PROTOBUF: &str = "application/x-protobuf";
/// Content type of JSON bodies.
pub const CONTENT_TYPE_JSON: &str = "application/json";

/// Caller to agent: who calls; required for requests that may not be repeated.
pub const CALLER: &str = "sablehaven-caller";
/// Caller to agent: the caller's id for the request; required for requests that may not be repeated.
pub const REQUEST_ID: &str = "sablehaven-request-id";
/// Caller to agent: when the request was first issued, in milliseconds since the Unix epoch;
/// required for requests that may not be repeated, the same on a resend.
pub const ISSUED_AT_MS: &str = "sablehaven-issued-at-ms";
/// Caller to agent (`1`): the caller has sent this request before and does not know its outcome. A
/// refusal made before the ledger was asked then says "unknown", because an earlier sending may have
/// run.
pub const RESEND: &str = "sablehaven-resend";
/// Caller to agent, and agent to back end: time that is left, in milliseconds.
pub const DEADLINE_MS: &str = "sablehaven-deadline-ms";

/// Agent to back end, echoed: the attempt's id (decimal).
pub const ATTEMPT: &str = "sablehaven-attempt";
/// Agent to back end, echoed: the shard (decimal).
pub const SHARD: &str = "sablehaven-shard";
/// Agent to back end, echoed: the pinned snapshot as `<generation>.<partition map>`.
pub const SNAPSHOT: &str = "sablehaven-snapshot";
/// Back end to agent: the id of the server that replies.
pub const BACKEND: &str = "sablehaven-backend";
/// Back end to agent: requests running and queued, as the server last counted them; may be stale.
pub const LOAD: &str = "sablehaven-load";
/// Back end to agent: age of [`LOAD`], in milliseconds.
pub const LOAD_AGE_MS: &str = "sablehaven-load-age-ms";
/// Back end to agent: the server's start number ([`crate::BackendRecord::incarnation`]).
pub const INCARNATION: &str = "sablehaven-incarnation";
/// Back end to agent: the server drains and wants no new work (`1`).
pub const DRAINING: &str = "sablehaven-draining";
/// Back end to agent, with status 503 or 409: why the request was refused before it started.
pub const REFUSED: &str = "sablehaven-refused";

/// [`REFUSED`]: the server is pressed.
pub const REFUSED_SHED: &str = "shed";
/// [`REFUSED`]: the server drains.
pub const REFUSED_DRAINING: &str = "draining";
/// [`REFUSED`] (status 409): the server does not hold the pinned snapshot of this shard.
pub const REFUSED_SNAPSHOT: &str = "snapshot";
/// [`REFUSED`]: the deadline had passed when the request's turn came.
pub const REFUSED_DEADLINE: &str = "deadline";
