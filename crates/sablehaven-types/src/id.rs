//! Identifiers as distinct types, so that the compiler rejects one kind in place of another.

use std::fmt;

use serde::{Deserialize, Serialize};

macro_rules! string_id {
    ($(#[$doc:meta] $name:ident),+ $(,)?) => {$(
        #[$doc]
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub String);

        impl $name {
            /// Returns the identifier as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.to_owned())
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(text)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }
    )+};
}

macro_rules! number_id {
    ($(#[$doc:meta] $name:ident($inner:ty)),+ $(,)?) => {$(
        #[$doc]
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(formatter, "{}", self.0)
            }
        }
    )+};
}

string_id! {
    /// An agent process; every start of the process has a new id.
    AgentId,
    /// A back-end server; the id stays the same across restarts.
    BackendId,
    /// A caller of the agent; chosen by the caller itself.
    CallerId,
    /// An operator's command; a resend has the same id.
    CommandId,
    /// An operator who sends commands.
    OperatorId,
    /// A region of the deployment.
    RegionName,
    /// A relay process; every start of the process has a new id.
    RelayId,
    /// A caller's request; a resend has the same id.
    RequestId,
    /// A service, written as `<package>.<Service>`.
    ServiceName,
    /// A tenant: a group of callers with their own API keys and quota.
    TenantName,
    /// A zone of the deployment; zone names are unique across all regions.
    ZoneName,
}

number_id! {
    /// A shard of one service's index, numbered from 0.
    ShardId(u32),
    /// One attempt of a sub-request: a unique random number, which the reply must echo.
    AttemptId(u64),
    /// One claim on a ledger key: a unique random number. Only the holder of the claim may dispatch the request.
    ClaimId(u64),
}
