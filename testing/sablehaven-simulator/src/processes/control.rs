//! A control machine: its disk and the groups on it.

use std::collections::BTreeMap;

use sablehaven_consensus::{Config, Message, Ready, ReplicaId, Snapshot, SnapshotMetadata};
use sablehaven_control::{membership::ServiceWatchers, shared::SharedCommand};

use crate::{
    disk::{Change, Disk, Write},
    group_member::{GroupMember, ReadKind, Waiter, is_ledger},
    machine::SHARED_GROUP,
    network::NodeId,
    packet::{ControlReply, ControlRequest, Packet},
    process::{Context, Input, Role},
    scenario::Settings,
    variant::Variant,
};

/// What must wait until a batch of writes is synced.
#[derive(Default)]
struct AfterSync {
    persisted: Vec<(u32, u64)>,
    messages: Vec<(u32, ReplicaId, Message)>,
    installed: Vec<(u32, Snapshot)>,
    compacted: Vec<(u32, SnapshotMetadata)>,
}

/// A control process.
pub struct Control {
    /// The disk of its machine.
    pub disk: Disk,
    groups: BTreeMap<u32, GroupMember>,
    after_sync: BTreeMap<u64, AfterSync>,
}

impl Control {
    /// Starts from what the disk holds.
    pub fn start(disk: Disk, settings: &Settings, election_seed: u64) -> Self {
        let config = |group: u32| Config {
            election_seed: election_seed.wrapping_add(u64::from(group)),
            ..settings.consensus.clone()
        };
        let start = |group| {
            let files = disk.read(group);
            let member =
                GroupMember::start(group, disk.id(), files, config(group), settings.variant);
            (group, member)
        };
        Self {
            groups: (0..=settings.ledger_groups).map(start).collect(),
            after_sync: BTreeMap::new(),
            disk,
        }
    }

    /// The group on this machine.
    pub fn group(&self, group: u32) -> Option<&GroupMember> {
        self.groups.get(&group)
    }

    fn tick(&mut self, context: &mut Context<'_>) {
        for (group, member) in &mut self.groups {
            member.replica.tick();
            if is_ledger(*group) {
                member.propose_ledger(context);
            } else if member.replica.is_leader() && context.random.chance(20) {
                propose_noise(context, member);
            }
        }
    }

    fn receive(&mut self, context: &mut Context<'_>, from: NodeId, packet: Packet) {
        match packet {
            Packet::Peer {
                from,
                to,
                group,
                message,
            } if to == self.disk.id() => {
                if let Some(member) = self.groups.get_mut(&group) {
                    member.replica.receive(from, message);
                }
            }
            Packet::ToControl { call, request } => {
                let waiter = Waiter { node: from, call };
                self.request(context, waiter, request);
            }
            _ => {}
        }
    }

    fn request(&mut self, context: &mut Context<'_>, waiter: Waiter, request: ControlRequest) {
        let group = match &request {
            ControlRequest::Ledger { group, .. }
            | ControlRequest::Status { group }
            | ControlRequest::Change { group, .. }
            | ControlRequest::Transfer { group, .. } => *group,
            _ => SHARED_GROUP,
        };
        let Some(member) = self.groups.get_mut(&group) else {
            return;
        };
        match request {
            ControlRequest::Watch { revision } => {
                let state = member.machine.shared();
                if let Some(update) = state.and_then(|state| state.update_since(revision)) {
                    waiter.reply(context, ControlReply::Update(update));
                }
            }
            ControlRequest::Lease => request_lease(context, member, waiter),
            ControlRequest::Read => member.start_read(context, waiter, ReadKind::Version),
            ControlRequest::Ledger { request, .. } => {
                member.queue_ledger(context, waiter, request);
            }
            ControlRequest::Apply(command) => {
                let command = SharedCommand::Configuration {
                    command,
                    proposed_at_ms: context.unix_ms,
                };
                member.propose_shared(context, Some(waiter), &command);
            }
            ControlRequest::Status { .. } => {
                let status = Box::new(member.replica.status());
                waiter.reply(context, ControlReply::Status(status));
            }
            ControlRequest::Change { change, .. } => {
                // Refused where it cannot be done now; the administrator looks at the status anyway.
                member.replica.change_membership(change).ok();
            }
            ControlRequest::Transfer { to, .. } => {
                member.replica.transfer_leadership(to).ok();
            }
        }
    }

    /// Does everything that is ready in any group; what must be synced shares one sync.
    fn work(&mut self, context: &mut Context<'_>) {
        let mut writes = Vec::new();
        let mut after_sync = AfterSync::default();
        let groups: Vec<u32> = self.groups.keys().copied().collect();
        let mut is_idle = false;
        while !is_idle {
            is_idle = true;
            for group in &groups {
                is_idle &= !self.work_on(context, *group, &mut writes, &mut after_sync);
            }
        }
        if !writes.is_empty() {
            let batch = self.disk.write(writes);
            self.after_sync.insert(batch, after_sync);
            context.effects.syncs.push(batch);
        }
    }

    /// Does what is ready in one group; false if nothing was.
    fn work_on(
        &mut self,
        context: &mut Context<'_>,
        group: u32,
        writes: &mut Vec<Write>,
        after_sync: &mut AfterSync,
    ) -> bool {
        let Some(member) = self.groups.get_mut(&group) else {
            return false;
        };
        let ready = member.replica.take_ready();
        if let Some(fault) = ready.fault {
            context.checks.fault(context.now, group, fault);
            return false;
        }
        if ready.needs_snapshot
            && let Some(snapshot) = member.snapshot()
        {
            member.replica.provide_snapshot(snapshot);
        } else if ready.is_empty() {
            return false;
        }
        self.finish_ready(context, group, ready, writes, after_sync);
        true
    }

    fn finish_ready(
        &mut self,
        context: &mut Context<'_>,
        group: u32,
        ready: Ready,
        writes: &mut Vec<Write>,
        after_sync: &mut AfterSync,
    ) {
        let Some(member) = self.groups.get_mut(&group) else {
            return;
        };
        let id = self.disk.id();
        for (to, message) in ready.messages_before_sync {
            send_to_peer(context, id, group, to, message);
        }
        let write = |change| Write { group, change };
        writes.extend(ready.hard_state.map(Change::HardState).map(write));
        if let Some(snapshot) = &ready.snapshot {
            let Snapshot { metadata, data } = snapshot.clone();
            writes.push(write(Change::Install(metadata, data)));
        }
        writes.extend(ready.entries.into_iter().map(Change::Append).map(write));
        member.apply(context, ready.committed);
        if let Some(Snapshot { metadata, data }) =
            member.due_snapshot(context.settings.snapshot_interval)
        {
            writes.push(write(Change::Compact(metadata.clone(), data)));
            after_sync.compacted.push((group, metadata));
        }
        member.reads_confirmed(context, &ready.reads);
        member.reads_refused(context, &ready.refused_reads);
        // The order must hold over readies: what waits for no write of its own still waits for the
        // earlier ones, since it may acknowledge what they write.
        let earlier = self.disk.last_unsynced();
        let must_wait = match (!writes.is_empty(), earlier) {
            (true, _) => Some(after_sync),
            (false, Some(batch)) => Some(self.after_sync.entry(batch).or_default()),
            (false, None) => None,
        };
        match must_wait {
            Some(waiting) => {
                waiting.persisted.push((group, ready.number));
                let messages = ready.messages_after_sync.into_iter();
                let of_group = messages.map(|(to, message)| (group, to, message));
                waiting.messages.extend(of_group);
                let installed = ready.snapshot.map(|snapshot| (group, snapshot));
                waiting.installed.extend(installed);
            }
            None => {
                member.replica.persisted(ready.number);
                for (to, message) in ready.messages_after_sync {
                    send_to_peer(context, id, group, to, message);
                }
            }
        }
    }

    fn synced(&mut self, context: &mut Context<'_>, batch: u64) {
        let Some(done) = self.after_sync.remove(&batch) else {
            return;
        };
        for (group, number) in done.persisted {
            if let Some(member) = self.groups.get_mut(&group) {
                member.replica.persisted(number);
            }
        }
        for (group, snapshot) in done.installed {
            if let Some(member) = self.groups.get_mut(&group) {
                member.install(context, &snapshot);
            }
        }
        for (group, metadata) in done.compacted {
            if let Some(member) = self.groups.get_mut(&group) {
                member.replica.compacted(&metadata);
            }
        }
        for (group, to, message) in done.messages {
            send_to_peer(context, self.disk.id(), group, to, message);
        }
    }

    fn check_leaders(&self, context: &mut Context<'_>) {
        for (group, member) in &self.groups {
            if member.replica.is_leader() {
                let (term, id) = (member.replica.term(), member.replica.id());
                context.checks.leader(context.now, *group, term, id);
            }
        }
    }
}

impl Role for Control {
    fn handle(&mut self, context: &mut Context<'_>, input: Input) {
        match input {
            Input::Tick => self.tick(context),
            Input::Packet { from, packet } => self.receive(context, from, packet),
            Input::Synced(batch) => self.synced(context, batch),
        }
        // What comes up while the disk is busy shares the next sync.
        if self.disk.unsynced_batches() < context.settings.outstanding_syncs {
            self.work(context);
        }
        self.check_leaders(context);
    }
}

fn request_lease(context: &mut Context<'_>, member: &mut GroupMember, waiter: Waiter) {
    let received_ms = context.local_ms;
    let kind = ReadKind::Lease { received_ms };
    let is_broken = context.settings.variant == Some(Variant::LeaseWithoutQuorum);
    if is_broken && member.replica.is_leader() {
        member.answer_read(context, waiter, kind);
    } else {
        member.start_read(context, waiter, kind);
    }
}

/// A change that operators have no part in, so that the revision moves without the version.
fn propose_noise(context: &mut Context<'_>, member: &mut GroupMember) {
    let agents = context.random.between(1, 64) as u32;
    let watchers = ServiceWatchers { agents, zones: 1 };
    let service = crate::processes::operator::service();
    let command = SharedCommand::Watchers([(service, watchers)].into());
    member.propose_shared(context, None, &command);
}

fn send_to_peer(
    context: &mut Context<'_>,
    from: ReplicaId,
    group: u32,
    to: ReplicaId,
    message: Message,
) {
    let Some(place) = context.places.get(&to) else {
        return;
    };
    let packet = Packet::Peer {
        from,
        to,
        group,
        message,
    };
    context.send(NodeId::Control(*place), packet);
}
