//! Header names and refusal reasons of the HTTP interfaces to callers and back ends.
//!
//! A caller sends a `POST` request to the agent at `/<package>.<Service>/<Method>` with a JSON or protobuf body. The
//! response is a [`crate::Envelope`] in the encoding that the caller accepts, or otherwise in the encoding of the
//! request. In protobuf, the envelope is a [`crate::protobuf::ProtobufEnvelope`].
//!
//! The agent sends a `POST` request to back ends at the same path, over HTTP/2 without TLS (prior knowledge). The body
//! is the method's request message in protobuf, and the headers hold the attempt's metadata. A reply with status 200
//! must echo attempt, shard and snapshot, or it is discarded. A refusal must echo the attempt. If it does not, it
//! proves nothing about a non-idempotent request, and the outcome of that request is unknown. The agent forwards the
//! [`CALLER`], [`REQUEST_ID`] and [`ISSUED_AT_MS`] of a non-idempotent request to the back end, which can use them to
//! keep its own record. The agent cancels an attempt by resetting its HTTP/2 stream.

/// The content type of protobuf bodies.
pub const CONTENT_TYPE_PROTOBUF: &str = "application/x-protobuf";
/// The content type of JSON bodies.
pub const CONTENT_TYPE_JSON: &str = "application/json";

/// Caller to agent: the caller's id. Required for non-idempotent requests.
pub const CALLER: &str = "sablehaven-caller";
/// Caller to agent: the caller's id for the request. Required for non-idempotent requests.
pub const REQUEST_ID: &str = "sablehaven-request-id";
/// Caller to agent: when the request was first issued, in milliseconds since the Unix epoch. Required for
/// non-idempotent requests. A resend repeats the time of the first issue.
pub const ISSUED_AT_MS: &str = "sablehaven-issued-at-ms";
/// Caller to agent (`1`): the caller has sent this request before and does not know its outcome. A refusal before the
/// ledger was consulted then reports the outcome "unknown", because the earlier request may have run.
pub const RESEND: &str = "sablehaven-resend";
/// Caller to agent, and agent to back end: the remaining time until the deadline, in milliseconds.
pub const DEADLINE_MS: &str = "sablehaven-deadline-ms";

/// Agent to back end, echoed: the attempt's id (decimal).
pub const ATTEMPT: &str = "sablehaven-attempt";
/// Agent to back end, echoed: the shard (decimal).
pub const SHARD: &str = "sablehaven-shard";
/// Agent to back end, echoed: the pinned snapshot as `<generation>.<partition map>`.
pub const SNAPSHOT: &str = "sablehaven-snapshot";
/// Back end to agent: the id of the replying server.
pub const BACKEND: &str = "sablehaven-backend";
/// Back end to agent: the number of running and queued requests when the server last counted them; may be stale.
pub const LOAD: &str = "sablehaven-load";
/// Back end to agent: the age of [`LOAD`], in milliseconds.
pub const LOAD_AGE_MS: &str = "sablehaven-load-age-ms";
/// Back end to agent: the server's incarnation ([`crate::BackendRecord::incarnation`]).
pub const INCARNATION: &str = "sablehaven-incarnation";
/// Back end to agent (`1`): the server is draining and accepts no new requests.
pub const DRAINING: &str = "sablehaven-draining";
/// Back end to agent, with status 503 or 409: the reason why the request was refused before it started.
pub const REFUSED: &str = "sablehaven-refused";

/// [`REFUSED`]: the server is overloaded.
pub const REFUSED_SHED: &str = "shed";
/// [`REFUSED`]: the server is draining.
pub const REFUSED_DRAINING: &str = "draining";
/// [`REFUSED`] (status 409): the server does not hold the pinned snapshot of this shard.
pub const REFUSED_SNAPSHOT: &str = "snapshot";
/// [`REFUSED`]: the deadline had passed before the request could start.
pub const REFUSED_DEADLINE: &str = "deadline";
