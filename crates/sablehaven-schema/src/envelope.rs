//! The envelope of answers in protobuf, written by the agent and read by generated clients.

pub use sablehaven_types::protobuf::{EnvelopeError, ProtobufEnvelope};

/// The text of `sablehaven/envelope.proto`, which describes the envelope to callers in other
/// languages.
pub const ENVELOPE_TEXT: &str = include_str!("../proto/sablehaven/envelope.proto");
