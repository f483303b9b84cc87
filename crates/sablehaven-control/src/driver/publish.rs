//! Publishes the state that the servers follow (see [`PublishedState`](super::PublishedState)).

use std::time::Instant;

use sablehaven_consensus::{ReplicaId, Role, Status};

use super::{machine::read, run::Driver};

impl Driver {
    /// Publishes the leader, term and membership of group 0, and since when this replica leads, if it does.
    pub(super) fn publish_leadership(&self) {
        let status = self.groups[0].replica.status();
        let is_leader = status.role == Role::Leader;
        let is_formed = !status.membership.voters.is_empty();
        self.published.send_if_modified(|published| {
            let before = published.clone();
            published.leader = status.leader;
            published.is_formed = is_formed;
            published.term = status.term;
            published.members = u32::try_from(status.membership.voters.len()).unwrap_or(u32::MAX);
            published.is_member = status.membership.voters.contains(&self.id);
            published.leading_since = match published.leading_since {
                Some(since) if is_leader => Some(since),
                _ => is_leader.then(Instant::now),
            };
            let has_leadership_changed =
                published.leader != before.leader || published.term != before.term;
            if has_leadership_changed {
                log_leadership(&status);
            }
            *published != before
        });
    }

    /// Publishes the revision of the shared state, the version of its routes and the revision of its evacuated zones.
    pub(super) fn publish_revision(&self) {
        let (revision, routes_version, evacuation) = read(&self.state, |state| {
            let evacuation = state.evacuation().zones().revision;
            (state.revision(), state.routes().version(), evacuation)
        });
        self.published.send_if_modified(|published| {
            let has_changed = published.revision != revision
                || published.routes_version != routes_version
                || published.evacuation_revision != evacuation;
            published.revision = revision;
            published.routes_version = routes_version;
            published.evacuation_revision = evacuation;
            has_changed
        });
    }
}

fn log_leadership(status: &Status) {
    log::info!(
        event = "leadership", term = status.term,
        leader = status.leader.as_ref().map(ReplicaId::to_string),
        leads = status.role == Role::Leader, voters = status.membership.voters.len(),
        last_index = status.last_index, commit = status.commit;
        "leadership of group 0"
    );
}
