//! Encoding of commands and snapshots: a version byte, then one `rmp-serde` value.

use serde::{Serialize, de::DeserializeOwned};

/// The version of the encoding of commands, snapshots and messages between replicas.
pub const ENCODING_VERSION: u8 = 1;

/// Why encoding or decoding failed, with the step that failed.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum CodecError {
    /// {step}: {source}
    Encode {
        /// What was encoded.
        step: &'static str,
        /// The cause.
        source: rmp_serde::encode::Error,
    },
    /// {step}: {source}
    Decode {
        /// What was decoded.
        step: &'static str,
        /// The cause.
        source: rmp_serde::decode::Error,
    },
    /// {step}: encoding version is {version:?}, only version 1 is supported
    Version {
        /// What was decoded.
        step: &'static str,
        /// The version found; `None` if the input is empty.
        version: Option<u8>,
    },
}

/// Encodes a value.
pub fn encode(step: &'static str, value: &impl Serialize) -> Result<Vec<u8>, CodecError> {
    let mut encoded = vec![ENCODING_VERSION];
    rmp_serde::encode::write(&mut encoded, value)
        .map_err(|source| CodecError::Encode { step, source })?;
    Ok(encoded)
}

/// Decodes a value. Input with an unknown version is an error.
pub fn decode<Value: DeserializeOwned>(
    step: &'static str,
    encoded: &[u8],
) -> Result<Value, CodecError> {
    match encoded.split_first() {
        Some((&ENCODING_VERSION, value)) => {
            rmp_serde::from_slice(value).map_err(|source| CodecError::Decode { step, source })
        }
        other => Err(CodecError::Version {
            step,
            version: other.map(|(version, _)| *version),
        }),
    }
}
