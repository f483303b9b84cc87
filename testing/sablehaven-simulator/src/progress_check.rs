//! After all faults are gone, everything must go on.

use sablehaven_consensus::Status;

use crate::{
    checks::{Property, seconds},
    event_queue::Micros,
    world::World,
};

impl World {
    /// Checks at the end of the run that all went on since the faults were gone.
    pub(crate) fn check_progress(&mut self) {
        let missing = self.missing_progress();
        if let Some(detail) = missing {
            self.checks.report(self.now, Property::Progress, detail);
        }
    }

    fn missing_progress(&self) -> Option<String> {
        for group in 0..=self.settings.ledger_groups {
            if let Some(missing) = self.missing_in_group(group) {
                return Some(format!("group {group}: {missing}"));
            }
        }
        let calm_since = self.settings.fault_time;
        // The second half of the calm time must see fresh work.
        let due = calm_since + self.settings.calm_time / 2;
        if self.settings.callers > 0 && self.checks.last_done() < due {
            return Some(stopped("calls", self.checks.last_done()));
        }
        if self.checks.latest_version_at() < due {
            return Some(stopped("commands", self.checks.latest_version_at()));
        }
        self.missing_at_agents()
    }

    fn missing_in_group(&self, group: u32) -> Option<String> {
        let Some((_, leader)) = self.leader_of(group) else {
            return Some("no leader".to_owned());
        };
        if !self.is_repaired() {
            return Some(format!("members are {:?}", leader.membership));
        }
        let voters = &leader.membership.voters;
        let statuses = self.statuses(group);
        let is_behind = |status: &Status| {
            voters.contains(&status.id) && status.commit + ALLOWED_LAG < leader.commit
        };
        let behind = statuses.iter().find(|(_, status)| is_behind(status));
        behind.map(|(place, status)| {
            let (commit, leading) = (status.commit, leader.commit);
            format!("machine {place} is at {commit}, the leader at {leading}")
        })
    }

    fn missing_at_agents(&self) -> Option<String> {
        // What was accepted a lease ago must be in force by now.
        let lease = self.settings.longest_lease();
        let is_settled = self.checks.latest_version_at() + lease < self.now;
        for (index, process) in self.agents.iter().enumerate() {
            let Some(agent) = &process.role else {
                return Some(format!("agent {index} is stopped"));
            };
            if !agent.is_current(process.clock.monotonic_ms(self.now)) {
                return Some(format!("agent {index} holds no lease"));
            }
            let version = agent.configuration_version();
            if is_settled && version < self.checks.latest_version() {
                return Some(format!("agent {index} is at version {version}"));
            }
        }
        None
    }
}

/// Entries by which a voter may lag at the end, since work goes on.
const ALLOWED_LAG: u64 = 20;

fn stopped(what: &str, last: Micros) -> String {
    format!("no {what} succeed since {:.3} s", seconds(last))
}
