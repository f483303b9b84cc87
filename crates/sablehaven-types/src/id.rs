//! Identifiers as distinct types, so that one cannot stand in for another.

use std::fmt;

use serde::{Deserialize, Serialize};

macro_rules! string_id {
    ($(#[$doc:meta] $name:ident),+ $(,)?) => {$(
        #[$doc]
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub String);

        impl $name {
            /// The identifier as text.
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
    /// An agent process, unique for each start of the process.
    AgentId,
    /// A back-end server, stable over restarts.
    BackendId,
    /// A caller of the agent, as it names itself.
    CallerId,
    /// An operator's command; a resend carries the same one.
    CommandId,
    /// The operator who sent a command.
    OperatorId,
    /// A region of the deployment.
    RegionName,
    /// A relay process, unique for each start of the process.
    RelayId,
    /// A caller's request; a resend carries the same one.
    RequestId,
    /// A service as `<package>.<Service>`.
    ServiceName,
    /// A tenant: a group of callers with keys and a quota of its own.
    TenantName,
    /// A zone of the deployment; zone names are unique over all regions.
    ZoneName,
}

number_id! {
    /// A shard of one service's index, counted from 0.
    ShardId(u32),
    /// One attempt of a sub-request, random and unique; the reply must echo it.
    AttemptId(u64),
    /// One claim of a ledger key, random and unique; only its holder may dispatch.
    ClaimId(u64),
}
