//! Settings of a control replica.

use std::{
    collections::BTreeSet,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::PathBuf,
    time::Duration,
};

use sablehaven_types::{Placement, QuotaTolerance, SettingChecks, SettingError, ZoneName};
use serde::{Deserialize, Serialize};

use crate::ledger::LedgerLimits;

/// Ledger groups that a deployment may have.
const MAXIMUM_LEDGER_GROUPS: u32 = 64;

/// Settings of a control replica. Durations are in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// The deployment's name; replicas, relays and data folders of others are refused.
    pub deployment: String,
    /// Where the operators' interface listens.
    pub http_listen: SocketAddr,
    /// Where internal connections (replicas, relays) are accepted.
    pub internal_listen: SocketAddr,
    /// The address that others reach `http_listen` at, if it is another one.
    pub http_advertise: Option<SocketAddr>,
    /// The address that others reach `internal_listen` at, if it is another one.
    pub internal_advertise: Option<SocketAddr>,
    /// The IP number from which outgoing connections are made; where it is absent the system chooses.
    pub connect_from: Option<IpAddr>,
    /// Where the replica runs.
    pub placement: Placement,
    /// The zones of the deployment, so that an order about another one is refused; empty takes any.
    pub zones: BTreeSet<ZoneName>,
    /// The folder of the log and the snapshots; one process at a time.
    pub data_folder: PathBuf,
    /// Silence of a replica after which a new one takes its place, in milliseconds.
    pub repair_patience_ms: u64,
    /// Replicas that the leader keeps by itself: one that joins is added, one that lost its disk is
    /// replaced, and a silent one beyond this number goes. 0 leaves every change to operators.
    pub repair_minimum_members: usize,
    /// Time between two readings of the list of servers for gateways.
    pub listing_interval_ms: u64,
    /// Entries that stay in memory after a snapshot, for replicas that are a little behind.
    pub retained_entries: u64,
    /// Internal addresses of the other replicas at the first start, or of any when joining.
    pub peers: Vec<SocketAddr>,
    /// Whether this replica may form a new deployment together with all of `peers`. It does so only
    /// while its own data folder is new and every peer is there, new too, and may do the same. Set
    /// it at the first start of a deployment; a machine that joins later does without.
    pub bootstrap: bool,
    /// How far tenants' requests may go beyond their quotas, over all gateways together.
    pub quotas: QuotaTolerance,
    /// Groups that the ledger's keys are spread over; the same on every replica, fixed at the first
    /// start. 0 goes without a ledger: agents then cannot send requests that run at most once.
    pub ledger_groups: u32,
    /// Bounds of each ledger group.
    pub ledger: LedgerLimits,
    /// Where the platform lists its machines; without it there are no back ends.
    pub platform: Option<PlatformConfig>,
    /// Length of a consensus tick.
    pub tick_ms: u64,
    /// Time between two heartbeats of a leader.
    pub heartbeat_ms: u64,
    /// Time without a leader's message after which replicas elect another one (one to two times
    /// this). A leader that hears no quorum for as long steps down.
    pub election_timeout_ms: u64,
    /// The same for a replica that has just started and has heard no leader yet; at most as long.
    pub first_election_timeout_ms: u64,
    /// How long agents may rely on a proof that the leader was current.
    pub lease_duration_ms: u64,
    /// Log entries of a group after which a snapshot is taken.
    pub snapshot_entries: u64,
    /// Log bytes of a group after which a snapshot is taken.
    pub snapshot_bytes: u64,
    /// Size of a log segment, in bytes.
    pub segment_bytes: u64,
    /// Seed of the random part of election timeouts, mixed with the replica's identity.
    pub election_seed: u64,
}

/// Where the platform lists its machines.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformConfig {
    /// URL that answers GET with JSON `{"machines": [...]}`.
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
    /// Every setting that cannot be used; keys start with `prefix`.
    pub fn validate(&self, prefix: &str) -> Vec<SettingError> {
        let mut checks = SettingChecks::new(prefix);
        checks.nested("ledger", |prefix| self.ledger.validate(prefix));
        checks.name("deployment", &self.deployment);
        let groups = 0..=u64::from(MAXIMUM_LEDGER_GROUPS);
        checks.range("ledger_groups", self.ledger_groups, groups);
        let tick = self.tick_ms;
        checks.range("tick_ms", tick, 1..=1_000);
        let heartbeat = self.heartbeat_ms;
        let allowed = "at least tick_ms";
        checks.require("heartbeat_ms", heartbeat >= tick, heartbeat, allowed);
        let election = self.election_timeout_ms;
        let holds = election >= 2 * heartbeat + 3 * tick;
        let allowed = "more than 2 heartbeats and 3 ticks";
        checks.require("election_timeout_ms", holds, election, allowed);
        let first = self.first_election_timeout_ms;
        let holds = first >= tick && first <= election;
        let allowed = "tick_ms to election_timeout_ms";
        checks.require("first_election_timeout_ms", holds, first, allowed);
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

    /// How long agents may rely on a proof that the leader was current.
    pub fn lease_duration(&self) -> Duration {
        Duration::from_millis(self.lease_duration_ms)
    }

    /// Time without a leader's message after which replicas elect another one.
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
            // The same in every group, so that one replica tends to win all of them.
            election_seed: self.election_seed,
            ..sablehaven_consensus::Config::default()
        }
    }

    pub(crate) fn storage(&self) -> sablehaven_storage::Options {
        sablehaven_storage::Options {
            deployment: self.deployment.clone(),
            segment_bytes: self.segment_bytes,
            ..sablehaven_storage::Options::default()
        }
    }
}
