//! Errors of calls that got no readable response.

use std::net::SocketAddr;

use sablehaven_types::protobuf::EnvelopeError;

/// Error of a call that got no readable response.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum CallError {
    /// failed to create the HTTP client for agent {agent}: {source}
    CreateClient {
        /// Address of the agent.
        agent: SocketAddr,
        /// Underlying error.
        source: reqwest::Error,
    },
    /// failed to connect to agent {agent} for {path}: {source}
    Connect {
        /// Address of the agent.
        agent: SocketAddr,
        /// Path of the method.
        path: &'static str,
        /// Underlying error.
        source: reqwest::Error,
    },
    /// no response from agent {agent} to {path}: {source}
    NoResponse {
        /// Address of the agent.
        agent: SocketAddr,
        /// Path of the method.
        path: &'static str,
        /// Underlying error.
        source: reqwest::Error,
    },
    /// response of agent {agent} to {path} has status {status} and contains no envelope
    NotAnEnvelope {
        /// Address of the agent.
        agent: SocketAddr,
        /// Path of the method.
        path: &'static str,
        /// HTTP status code.
        status: u16,
    },
    /// failed to decode the envelope in the response of agent {agent} to {path}: {source}
    Envelope {
        /// Address of the agent.
        agent: SocketAddr,
        /// Path of the method.
        path: &'static str,
        /// Underlying error.
        source: EnvelopeError,
    },
    /// failed to decode the body in the response of agent {agent} to {path}: {source}
    Body {
        /// Address of the agent.
        agent: SocketAddr,
        /// Path of the method.
        path: &'static str,
        /// Underlying error.
        source: prost::DecodeError,
    },
}

impl CallError {
    /// Returns whether the request may have run. If so, an at-most-once request must be resent with the
    /// same key to learn its outcome, and never with a new key.
    pub fn may_have_run(&self) -> bool {
        !matches!(self, Self::CreateClient { .. } | Self::Connect { .. })
    }
}
