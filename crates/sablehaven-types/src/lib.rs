//! Identifiers, configuration documents, membership records, outcomes and coverage shared by every
//! role.
//!
//! The types here are plain data: no clocks, no sockets, no decisions. Every duration is in
//! milliseconds and says so in its name; every index and version starts at 1, 0 means "none yet".

mod allowed_regions;
mod configuration;
mod coverage;
mod crash_report;
mod distance;
mod evacuation;
pub mod http;
mod id;
mod ledger;
mod listing;
mod membership;
mod outcome;
mod process;
pub mod protobuf;
mod quota_tolerance;
mod routes;
mod routes_change;
mod setting;
mod tenant;
mod tenant_rules;
mod tokens;

pub use allowed_regions::AllowedRegions;
pub use configuration::{
    ApplyCommand, ApplyOutcome, CommandRecord, Configuration, ConfigurationChange, IndexSnapshot,
    RoutingSettings, SchemaSource, ServiceConfiguration, ShardAssignment,
};
pub use coverage::{Coverage, MissingReason, MissingShard};
pub use crash_report::{CrashReport, RequestFingerprint, fingerprint_text};
pub use distance::{DISTANCES, Distance};
pub use evacuation::EvacuatedZones;
pub use id::{
    AgentId, AttemptId, BackendId, CallerId, ClaimId, CommandId, OperatorId, RegionName, RelayId,
    RequestId, ServiceName, ShardId, TenantName, ZoneName,
};
pub use ledger::{ClaimAnswer, LedgerKey, LedgerReply, LedgerRequest, RecordedOutcome};
pub use listing::{ListedServer, ListingChange, ListingNumber, ListingUpdate, ServerListing};
pub use membership::{BackendRecord, BackendState, Observation, ObservationKind, Placement};
pub use outcome::{ConfigurationAge, Envelope, Outcome, SnapshotId};
pub use process::BoundAddresses;
pub use quota_tolerance::QuotaTolerance;
pub use routes::{
    CallerLimits, Gather, RequestKind, Route, RouteDocument, RouteError, RouteTarget,
    RoutedService, WeightedService,
};
pub use routes_change::{RouteKey, RoutesChange};
pub use setting::{SettingChecks, SettingError};
pub use tenant::{KeyDigest, RequestQuota, Tenant};
pub use tokens::{
    LoanRequest, TokenLoan, TokenReply, TokenRequest, TokenRequestNumber, TokenVerdict,
};
