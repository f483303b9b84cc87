//! The settings of a control replica.

use std::{
    collections::BTreeSet,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::PathBuf,
    time::Duration,
};

use sablehaven_http::ClientSettings;
use sablehaven_types::{Placement, QuotaTolerance, SettingChecks, SettingError, ZoneName};
use serde::{Deserialize, Serialize};

use crate::ledger::LedgerLimits;

/// The maximum number of ledger groups of a deployment.
const MAX_LEDGER_GROUPS: u32 = 64;

/// The settings of a control replica. Durations are in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// The name of the deployment. Replicas, relays and data folders of other deployments are refused.
    pub deployment: String,
    /// The address on which the operator interface listens.
    pub http_listen: SocketAddr,
    /// The address on which internal connections (from replicas, relays and gateways) are accepted.
    pub internal_listen: SocketAddr,
    /// The address at which others reach `http_listen`, if it is a different one.
    pub http_advertise: Option<SocketAddr>,
    /// The address at which others reach `internal_listen`, if it is a different one.
    pub internal_advertise: Option<SocketAddr>,
    /// The local IP address of outgoing connections. If absent, the operating system chooses it.
    pub connect_from: Option<IpAddr>,
    /// The region and zone in which the replica runs.
    pub placement: Placement,
    /// The zones of the deployment; the evacuation of any other zone is refused. If empty, every zone is accepted.
    pub zones: BTreeSet<ZoneName>,
    /// The folder that contains the log and the snapshots. Only one process may use it at a time.
    pub data_folder: PathBuf,
    /// Time without a message from a member after which a new replica may take its place.
    pub repair_patience_ms: u64,
    /// The number of members that the leader maintains automatically: it adds new replicas, replaces a member that lost
    /// its disk, and removes a silent member while there are more members than this. If 0, only operators change the
    /// members.
    pub repair_minimum_members: usize,
    /// Time between two reads of the platform's server listing, which is sent to gateways.
    pub listing_interval_ms: u64,
    /// The number of log entries kept in memory before a snapshot, for replicas that are slightly behind.
    pub retained_entries: u64,
    /// The addresses of other replicas for internal connections: of all others at the first start of a deployment, of
    /// any members for a replica that joins later.
    pub peers: Vec<SocketAddr>,
    /// Whether this replica may form a new deployment together with all of `peers`. It does so only if its data folder
    /// is new and every peer answers, is new too, and may form a deployment as well. Set it at the first start of a
    /// deployment, and leave it unset on a replica that joins later.
    pub bootstrap: bool,
    /// Limits on what is held for clients: operators, callers of the directory and readers of metrics.
    pub clients: ClientSettings,
    /// How far the requests of a tenant may exceed its quota, over all gateways together.
    pub quotas: QuotaTolerance,
    /// The number of consensus groups over which the keys of the ledger are distributed. It must be the same on every
    /// replica and cannot change after the first start. If 0, there is no ledger, and agents cannot send requests that
    /// run at most once.
    pub ledger_groups: u32,
    /// The limits of each ledger group.
    pub ledger: LedgerLimits,
    /// Where the platform lists its machines. If absent, there are no back ends.
    pub platform: Option<PlatformConfig>,
    /// The length of a consensus tick.
    pub tick_ms: u64,
    /// Time between two heartbeats of a leader.
    pub heartbeat_ms: u64,
    /// Time without a message from the leader after which a replica starts an election; the actual time is chosen at
    /// random between one and two times this value. A leader that has not heard from a quorum for this time steps down.
    pub election_timeout_ms: u64,
    /// The election timeout of a replica that has not heard from a leader since its start; at most `election_timeout_ms`.
    pub first_election_timeout_ms: u64,
    /// How long agents may rely on a proof of leadership.
    pub lease_duration_ms: u64,
    /// The number of log entries of a group after which a snapshot is taken.
    pub snapshot_entries: u64,
    /// The number of log bytes of a group after which a snapshot is taken.
    pub snapshot_bytes: u64,
    /// The size of a log segment.
    pub segment_bytes: u64,
    /// The seed of the random part of election timeouts, combined with the replica's identity.
    pub election_seed: u64,
}

/// Where the platform lists its machines.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformConfig {
    /// A URL that responds to GET requests with JSON of the form `{"machines": [...]}`.
    pub url: String,
    /// Time between two polls.
    #[serde(default = "default_poll_interval_ms")]
    pub poll_interval_ms: u64,
}

fn default_poll_interval_ms() -> u64 {
    1_000
}

impl Default for Config {
    fn default() -> Self {
        Self {
            deployment: String::new(),
            http_listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            internal_listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            http_advertise: None,
            internal_advertise: None,
            connect_from: None,
            placement: Placement {
                region: String::new().into(),
                zone: String::new().into(),
            },
            zones: BTreeSet::new(),
            data_folder: PathBuf::from("data"),
            peers: Vec::new(),
            bootstrap: false,
            clients: ClientSettings::default(),
            quotas: QuotaTolerance::default(),
            ledger_groups: 4,
            ledger: LedgerLimits::default(),
            platform: None,
            tick_ms: 25,
            heartbeat_ms: 100,
            election_timeout_ms: 500,
            first_election_timeout_ms: 500,
            lease_duration_ms: 3_000,
            snapshot_entries: 50_000,
            snapshot_bytes: 16 * 1_024 * 1_024,
            segment_bytes: 32 * 1_024 * 1_024,
            election_seed: 0,
            repair_patience_ms: 2_500,
            repair_minimum_members: 0,
            listing_interval_ms: 1_000,
            retained_entries: 4_096,
        }
    }
}

impl Config {
    /// Returns an error for each invalid setting, with `prefix` before its key.
    pub fn validate(&self, prefix: &str) -> Vec<SettingError> {
        let mut checks = SettingChecks::new(prefix);
        checks.nested("clients", |prefix| self.clients.validate(prefix));
        checks.nested("ledger", |prefix| self.ledger.validate(prefix));
        checks.name("deployment", &self.deployment);
        let groups = 0..=u64::from(MAX_LEDGER_GROUPS);
        checks.range("ledger_groups", self.ledger_groups, groups);
        let tick = self.tick_ms;
        checks.range("tick_ms", tick, 1..=1_000);
        let heartbeat = self.heartbeat_ms;
        let allowed = "at least tick_ms";
        checks.require("heartbeat_ms", heartbeat >= tick, heartbeat, allowed);
        let election = self.election_timeout_ms;
        let is_valid = election >= 2 * heartbeat + 3 * tick;
        let allowed = "more than 2 heartbeats and 3 ticks";
        checks.require("election_timeout_ms", is_valid, election, allowed);
        let first = self.first_election_timeout_ms;
        let is_valid = first >= tick && first <= election;
        let allowed = "tick_ms to election_timeout_ms";
        checks.require("first_election_timeout_ms", is_valid, first, allowed);
        let lease = self.lease_duration_ms;
        let allowed = "at least 2 election timeouts";
        checks.require("lease_duration_ms", lease >= 2 * election, lease, allowed);
        let patience = self.repair_patience_ms;
        let allowed = "at least an election timeout";
        checks.require(
            "repair_patience_ms",
            patience >= election,
            patience,
            allowed,
        );
        checks.at_least("listing_interval_ms", self.listing_interval_ms, 100);
        checks.at_least("snapshot_entries", self.snapshot_entries, 1);
        if let Some(platform) = &self.platform {
            let interval = platform.poll_interval_ms;
            checks.at_least("platform.poll_interval_ms", interval, 10);
        }
        checks.into_errors()
    }

    /// How long agents may rely on a proof of leadership.
    pub fn lease_duration(&self) -> Duration {
        Duration::from_millis(self.lease_duration_ms)
    }

    /// Time without a message from the leader after which a replica starts an election.
    pub fn election_timeout(&self) -> Duration {
        Duration::from_millis(self.election_timeout_ms)
    }

    /// The consensus settings, in ticks.
    pub(crate) fn consensus(&self) -> sablehaven_consensus::Config {
        let ticks = |duration_ms: u64| {
            let ticks = duration_ms.div_ceil(self.tick_ms.max(1));
            u32::try_from(ticks).unwrap_or(u32::MAX)
        };
        sablehaven_consensus::Config {
            election_timeout_ticks: ticks(self.election_timeout_ms),
            first_election_timeout_ticks: ticks(self.first_election_timeout_ms),
            heartbeat_ticks: ticks(self.heartbeat_ms),
            retained_entries: self.retained_entries,
            // The seed is the same in every group, so that the same replica tends to win all elections.
            election_seed: self.election_seed,
            ..sablehaven_consensus::Config::default()
        }
    }

    /// The settings of the storage.
    pub(crate) fn storage(&self) -> sablehaven_storage::Options {
        sablehaven_storage::Options {
            deployment: self.deployment.clone(),
            segment_bytes: self.segment_bytes,
            ..sablehaven_storage::Options::default()
        }
    }
}
