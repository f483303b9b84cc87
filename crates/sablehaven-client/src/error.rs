//! Calls that got no answer that can be read.

use std::net::SocketAddr;

use sablehaven_types::protobuf::EnvelopeError;

/// A call without an answer that can be read.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum CallError {
    /// set up the connections to agent {agent}: {source}
    SetUp {
        /// The agent.
        agent: SocketAddr,
        /// The cause.
        source: reqwest::Error,
    },
    /// connect to agent {agent} for {path}: {source}
    Connect {
        /// The agent.
        agent: SocketAddr,
        /// The method.
        path: &'static str,
        /// The cause.
        source: reqwest::Error,
    },
    /// wait for the answer of agent {agent} to {path}: {source}
    NoAnswer {
        /// The agent.
        agent: SocketAddr,
        /// The method.
        path: &'static str,
        /// The cause.
        source: reqwest::Error,
    },
    /// read the answer of agent {agent} to {path}: status {status} with no envelope
    NoEnvelope {
        /// The agent.
        agent: SocketAddr,
        /// The method.
        path: &'static str,
        /// The HTTP status.
        status: u16,
    },
    /// read the answer of agent {agent} to {path}: {source}
    Envelope {
        /// The agent.
        agent: SocketAddr,
        /// The method.
        path: &'static str,
        /// The cause.
        source: EnvelopeError,
    },
    /// read the reply within the answer of agent {agent} to {path}: {source}
    Body {
        /// The agent.
        agent: SocketAddr,
        /// The method.
        path: &'static str,
        /// The cause.
        source: prost::DecodeError,
    },
}

impl CallError {
    /// Whether the request may have run. If so, a request that may not be repeated must be sent again
    /// with the same key to learn its outcome, never with a new one.
    pub fn may_have_run(&self) -> bool {
        !matches!(self, Self::SetUp { .. } | Self::Connect { .. })
    }
}
