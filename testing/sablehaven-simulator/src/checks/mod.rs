//! What must hold in every run. The first violation ends the run.

mod configuration;
mod log;
mod once;

use sablehaven_consensus::{Entry, Fault, ReplicaId};
use sablehaven_types::{ApplyCommand, ApplyOutcome, Outcome};

pub use self::configuration::OperationFloor;
use self::{configuration::ConfigurationChecks, log::LogChecks, once::OnceChecks};
use crate::{
    event_queue::{Micros, SECOND},
    packet::CallSend,
};

/// The property that a run broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Property {
    /// Two replicas led one term.
    OneLeaderPerTerm,
    /// A committed entry changed, or one replica's differs from another's.
    CommittedEntriesStay,
    /// Two replicas made different states or outcomes of the same entries.
    EqualStates,
    /// A replica found an invariant broken and stopped.
    ReplicaFault,
    /// The history of the configuration is not linearizable, or a version went back.
    ConfigurationLinearizable,
    /// An agent called itself current longer than a lease after a newer version was accepted.
    InForceWithinLease,
    /// A request that may not be repeated ran twice.
    AtMostOnce,
    /// A caller was told that a request did not run, and it ran.
    NotRunIsTrue,
    /// A caller was told that a request ran, and it did not.
    DoneIsTrue,
    /// After all faults were gone, something did not go on.
    Progress,
}

/// {property:?} at {at} us: {detail}
#[derive(Clone, Debug, PartialEq, Eq, displaydoc::Display)]
pub struct Violation {
    /// The property.
    pub property: Property,
    /// When it was found, in simulated microseconds.
    pub at: Micros,
    /// What was found.
    pub detail: String,
}

/// What happened in a run, to show that it exercised something.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Terms with a leader, over all groups.
    pub terms: u64,
    /// Entries committed, over all groups.
    pub entries: u64,
    /// Versions of the configuration.
    pub versions: u64,
    /// Requests that ran.
    pub executions: u64,
    /// Callers' requests that were answered as done.
    pub done: u64,
    /// Snapshots that followers installed.
    pub installed_snapshots: u64,
}

impl Counts {
    /// Adds another run's.
    pub fn add(&mut self, other: &Self) {
        self.terms += other.terms;
        self.entries += other.entries;
        self.versions += other.versions;
        self.executions += other.executions;
        self.done += other.done;
        self.installed_snapshots += other.installed_snapshots;
    }
}

/// The checkers of one run.
#[derive(Debug)]
pub struct Checks {
    violation: Option<Violation>,
    /// What happened so far.
    pub counts: Counts,
    log: LogChecks,
    configuration: ConfigurationChecks,
    once: OnceChecks,
    last_done: Micros,
}

type Verdict = Result<(), (Property, String)>;

impl Checks {
    /// Checkers of a run whose leases last at most `longest_lease` of true time.
    pub fn new(longest_lease: Micros) -> Self {
        Self {
            violation: None,
            counts: Counts::default(),
            log: LogChecks::default(),
            configuration: ConfigurationChecks::new(longest_lease),
            once: OnceChecks::default(),
            last_done: 0,
        }
    }

    /// The first violation.
    pub fn violation(&self) -> Option<&Violation> {
        self.violation.as_ref()
    }

    /// Reports a violation; only the first one counts.
    pub fn report(&mut self, at: Micros, property: Property, detail: String) {
        self.violation.get_or_insert(Violation {
            property,
            at,
            detail,
        });
    }

    fn take(&mut self, at: Micros, verdict: Verdict) {
        if let Err((property, detail)) = verdict {
            self.report(at, property, detail);
        }
    }

    /// A replica leads a term of a group.
    pub fn leader(&mut self, now: Micros, group: u32, term: u64, replica: ReplicaId) {
        let verdict = self.log.leader(group, term, replica);
        self.take(now, verdict);
        self.counts.terms = self.log.terms();
    }

    /// A replica hands out a committed entry.
    pub fn committed(&mut self, now: Micros, group: u32, replica: ReplicaId, entry: &Entry) {
        let verdict = self.log.committed(group, replica, entry);
        self.take(now, verdict);
        self.counts.entries = self.log.entries();
    }

    /// A replica applied the entry at an index, with this digest of the outcome.
    pub fn applied(&mut self, now: Micros, group: u32, index: u64, outcome: u64) {
        let verdict = self.log.applied(group, index, outcome);
        self.take(now, verdict);
    }

    /// A replica's state after an index has this digest.
    pub fn state(&mut self, now: Micros, group: u32, index: u64, state: u64) {
        let verdict = self.log.state(group, index, state);
        self.take(now, verdict);
    }

    /// A replica installed a snapshot that stands at this place.
    pub fn snapshot_installed(&mut self, now: Micros, group: u32, index: u64, term: u64) {
        self.counts.installed_snapshots += 1;
        let verdict = self.log.snapshot_installed(group, index, term);
        self.take(now, verdict);
    }

    /// A replica found an invariant broken.
    pub fn fault(&mut self, now: Micros, group: u32, fault: Fault) {
        let detail = format!("group {group}: {fault}");
        self.report(now, Property::ReplicaFault, detail);
    }

    /// A replica has applied a version of the configuration.
    pub fn version_applied(&mut self, now: Micros, version: u64) {
        self.configuration.version_applied(now, version);
        self.counts.versions = self.configuration.latest_version();
    }

    /// An operator starts a read or a command.
    pub fn operation_started(&self) -> OperationFloor {
        self.configuration.operation_started()
    }

    /// An operator's read is answered.
    pub fn version_read(&mut self, now: Micros, floor: OperationFloor, version: u64) {
        let verdict = self.configuration.version_read(floor, version);
        self.take(now, verdict);
    }

    /// An operator's command is answered.
    pub fn command_finished(
        &mut self,
        now: Micros,
        floor: OperationFloor,
        command: &ApplyCommand,
        outcome: &ApplyOutcome,
    ) {
        let verdict = self.configuration.command_finished(floor, command, outcome);
        self.take(now, verdict);
    }

    /// An agent follows a version and says whether it holds a lease.
    pub fn agent(&mut self, now: Micros, agent: usize, version: u64, is_current: bool) {
        let verdict = self.configuration.agent(now, agent, version, is_current);
        self.take(now, verdict);
    }

    /// An agent starts anew, without state.
    pub fn agent_started(&mut self, agent: usize) {
        self.configuration.agent_started(agent);
    }

    /// A back end runs a request.
    pub fn executed(&mut self, now: Micros, call: &CallSend) {
        self.counts.executions += 1;
        let verdict = self.once.executed(call);
        self.take(now, verdict);
    }

    /// A caller is told what became of a sending.
    pub fn told(&mut self, now: Micros, call: &CallSend, outcome: Outcome) {
        if outcome == Outcome::Done {
            self.counts.done += 1;
            self.last_done = now;
        }
        let verdict = self.once.told(call, outcome);
        self.take(now, verdict);
    }

    /// The latest version that was accepted.
    pub fn latest_version(&self) -> u64 {
        self.configuration.latest_version()
    }

    /// When a caller was last told that its request was done.
    pub fn last_done(&self) -> Micros {
        self.last_done
    }

    /// When the latest version was accepted.
    pub fn latest_version_at(&self) -> Micros {
        self.configuration.latest_version_at()
    }
}

/// A digest to compare by (FNV-1a, 64 bits); not meant against intent.
pub fn digest(bytes: &[u8]) -> u64 {
    let mix = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, mix)
}

/// A moment for messages, in seconds.
pub fn seconds(at: Micros) -> f64 {
    at as f64 / SECOND as f64
}
