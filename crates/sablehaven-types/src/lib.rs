//! Data types that every role shares, such as identifiers, routes, configuration, membership records and outcomes.
//!
//! The types are plain data: they read no clock, do no I/O and make no decisions. A field that holds a duration is in
//! milliseconds, as its suffix `_ms` shows. Indexes and versions start at 1; 0 means "none yet".

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
