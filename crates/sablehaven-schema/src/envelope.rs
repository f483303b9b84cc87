//! The protobuf envelope of responses, encoded by the agent and decoded by generated clients.

pub use sablehaven_types::protobuf::{EnvelopeError, ProtobufEnvelope};

/// The text of `sablehaven/envelope.proto`, the definition of the envelope for callers in other
/// languages.
pub const ENVELOPE_TEXT: &str = include_str!("../proto/sablehaven/envelope.proto");
