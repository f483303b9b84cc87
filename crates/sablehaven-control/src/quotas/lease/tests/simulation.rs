//! Simulates a group of replicas with network delays, partitions in one or both directions, freezes, restarts, and
//! membership changes by operators and by leaders. Under any combination of these, the parts that replicas may spend at
//! the same time must not add up to more than one bucket.

mod node;

pub(super) use node::{BrokenRule, ONE_BUCKET};

use std::collections::BTreeSet;

use sablehaven_consensus::{EntryPayload, Membership, PersistentState, ReplicaId};

use self::node::*;
use super::*;
use crate::replicas::{ChangeKind, ReplicasCommand};

pub(super) struct Simulation {
    broken: BrokenRule,
    now_ms: u64,
    nodes: Vec<Node>,
    /// Messages on their way: due time, sender, receiver and content.
    in_flight: Vec<(u64, ReplicaId, ReplicaId, Payload)>,
    /// Pairs of sender and receiver whose messages are dropped.
    blocked: BTreeSet<(ReplicaId, ReplicaId)>,
    random_state: u64,
    next_fault_ms: u64,
    has_operators: bool,
    /// The latest committed membership, with its log index.
    latest_membership: (u64, Membership),
    maxima: Maxima,
}

/// The highest values that were observed during a simulation.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Maxima {
    /// The sum of the parts under a lease at the same time, as a fraction of the bucket.
    pub(super) leased_share: f64,
    /// The number of replicas that had a lease at the same time although their removal was complete.
    pub(super) removed_holders: usize,
    /// The time for which a replica that had a lease had not heard from a leader, while no replica led.
    pub(super) leaderless_ms: u64,
}

impl Simulation {
    pub(super) fn new(seed: u64, broken: BrokenRule, has_operators: bool) -> Self {
        let voters: BTreeSet<ReplicaId> = (1..=INITIAL_MEMBERS).map(ReplicaId).collect();
        let mut simulation = Self {
            broken,
            now_ms: 0,
            nodes: Vec::new(),
            in_flight: Vec::new(),
            blocked: BTreeSet::new(),
            random_state: seed.wrapping_mul(0x9e37_79b9_7f4a_7c15),
            next_fault_ms: 3_000,
            has_operators,
            latest_membership: (0, Membership::default()),
            maxima: Maxima::default(),
        };
        for number in 1..=NODE_COUNT {
            let id = ReplicaId(number);
            let disk = if voters.contains(&id) {
                PersistentState::bootstrap(voters.clone())
            } else {
                PersistentState::default()
            };
            let first_probe_number = simulation.next_random();
            simulation
                .nodes
                .push(Node::new(id, disk, broken, first_probe_number));
        }
        simulation
    }

    /// The next number of the SplitMix64 generator (Steele, Lea and Flood, 2014).
    fn next_random(&mut self) -> u64 {
        self.random_state = self.random_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.random_state;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// A random number from 0 to `limit` - 1.
    fn random_below(&mut self, limit: u64) -> u64 {
        self.next_random() % limit
    }

    /// Runs the simulation for `RUN_LENGTH_MS` and returns what it measured.
    pub(super) fn run(mut self) -> Maxima {
        while self.now_ms < RUN_LENGTH_MS {
            self.now_ms += TICK_MS;
            if self.now_ms >= self.next_fault_ms {
                self.inject_fault();
            }
            self.deliver();
            for position in 0..self.nodes.len() {
                if self.nodes[position].frozen_until_ms <= self.now_ms {
                    self.run_node(position);
                }
            }
            let leased_share: f64 = self
                .nodes
                .iter()
                .map(|node| node.leased_share(self.now_ms))
                .sum();
            self.maxima.leased_share = self.maxima.leased_share.max(leased_share);
            self.measure_removed_holders();
            self.measure_leaderless();
        }
        self.maxima
    }

    /// Counts the nodes that have a lease although the latest committed membership does not contain them and no removal of
    /// them is in progress.
    fn measure_removed_holders(&mut self) {
        for node in &self.nodes {
            let status = node.replica.status();
            let is_committed = status.membership_index <= status.commit;
            if is_committed && status.membership_index > self.latest_membership.0 {
                self.latest_membership = (status.membership_index, status.membership);
            }
        }
        let membership = &self.latest_membership.1;
        if membership.voters.is_empty() {
            return;
        }
        let most_applied = self.nodes.iter().max_by_key(|node| node.applied);
        let change = most_applied.and_then(|node| node.state.change());
        let leaving = change.and_then(|change| change.kind.removed());
        let holders = self
            .nodes
            .iter()
            .filter(|node| node.leased_share(self.now_ms) > 0.0);
        let removed_holders = holders.filter(|node| {
            let is_behind = node.replica.status().membership_index < self.latest_membership.0;
            is_behind && !membership.voters.contains(&node.id) && leaving != Some(node.id)
        });
        self.maxima.removed_holders = self.maxima.removed_holders.max(removed_holders.count());
    }

    /// While no node leads, measures for how long a node with a lease has not heard from a leader.
    fn measure_leaderless(&mut self) {
        let holders = self
            .nodes
            .iter()
            .filter(|node| node.leased_share(self.now_ms) > 0.0);
        let silent_ticks = holders.map(|node| u64::from(node.replica.status().leader_silent_ticks));
        let is_leaderless = self.nodes.iter().all(|node| !node.replica.is_leader());
        if is_leaderless && let Some(longest) = silent_ticks.max() {
            self.maxima.leaderless_ms = self.maxima.leaderless_ms.max(longest * TICK_MS);
        }
    }

    fn run_node(&mut self, position: usize) {
        let now_ms = self.now_ms;
        let inbox = std::mem::take(&mut self.nodes[position].inbox);
        for (from, payload) in inbox {
            self.receive(position, from, payload);
        }
        let all: Vec<ReplicaId> = self.nodes.iter().map(|node| node.id).collect();
        let node = &mut self.nodes[position];
        node.replica.tick();
        node.run_leader_tasks(now_ms, &all);
        if now_ms.is_multiple_of(PROBE_INTERVAL_MS) {
            self.send_probe(position);
            self.nodes[position].start_leadership_proof(now_ms);
        }
        self.process_ready(position);
    }

    fn send_probe(&mut self, position: usize) {
        let now_ms = self.now_ms;
        let node = &mut self.nodes[position];
        let (id, leader) = (node.id, node.replica.leader());
        let number = node.lease.start_probe(at(now_ms));
        if leader == Some(id) {
            node.probes.push((id, number));
            return;
        }
        for to in (1..=NODE_COUNT).map(ReplicaId).filter(|to| *to != id) {
            self.send(id, to, Payload::Probe(number));
        }
    }

    fn receive(&mut self, position: usize, from: ReplicaId, payload: Payload) {
        let now = at(self.now_ms);
        let node = &mut self.nodes[position];
        let id = node.id;
        match payload {
            Payload::Consensus(message) => node.replica.receive(from, message),
            Payload::Probe(number) if node.replica.is_leader() => node.probes.push((from, number)),
            Payload::Probe(number) => {
                if let Some(index) = node.group_view().leaderless_at() {
                    self.send(id, from, Payload::Leaderless(number, index));
                }
            }
            Payload::Granted(_) if self.broken == BrokenRule::Freshness => {
                let number = node.lease.start_probe(now);
                node.lease.record_grant(number);
            }
            Payload::Granted(number) => node.lease.record_grant(number),
            Payload::Leaderless(number, index) => {
                let own_view = node.group_view();
                node.lease
                    .record_leaderless(now, number, from, index, &own_view);
            }
        }
    }

    fn process_ready(&mut self, position: usize) {
        let id = self.nodes[position].id;
        loop {
            let node = &mut self.nodes[position];
            let ready = node.replica.take_ready();
            if ready.is_empty() {
                return;
            }
            assert_eq!(ready.fault, None);
            persist(&mut node.disk, &ready);
            node.replica.persisted(ready.number);
            if let Some(last) = ready
                .entries
                .iter()
                .rev()
                .find(|entry| begins_change(entry))
            {
                node.last_change = last.index;
            }
            for entry in &ready.committed {
                node.applied = entry.index;
                if let EntryPayload::Command(command) = &entry.payload {
                    node.state.apply(decode(command));
                }
            }
            let token = node.proof.as_ref().map(|proof| proof.token);
            let is_proven = ready.reads.iter().any(|read| Some(read.token) == token);
            if ready.refused_reads.iter().any(|read| Some(*read) == token) {
                node.proof = None;
                node.silence.reset();
            }
            let messages = ready.messages_before_sync.into_iter();
            for (to, message) in messages.chain(ready.messages_after_sync) {
                self.send(id, to, Payload::Consensus(message));
            }
            if is_proven {
                self.finish_leadership_proof(position);
            }
        }
    }

    fn finish_leadership_proof(&mut self, position: usize) {
        let (now_ms, id) = (self.now_ms, self.nodes[position].id);
        let running = self
            .nodes
            .iter()
            .filter(|node| node.frozen_until_ms <= now_ms);
        let connected = running.map(|node| node.id).filter(|other| {
            let is_blocked =
                self.blocked.contains(&(id, *other)) || self.blocked.contains(&(*other, id));
            !is_blocked
        });
        let connected: Vec<ReplicaId> = connected.collect();
        for (member, number) in self.nodes[position].finish_leadership_proof(now_ms, &connected) {
            if member == id {
                self.nodes[position].lease.record_grant(number);
            } else {
                self.send(id, member, Payload::Granted(number));
            }
        }
    }

    fn send(&mut self, from: ReplicaId, to: ReplicaId, payload: Payload) {
        if self.blocked.contains(&(from, to)) {
            return;
        }
        // Most messages arrive within 40 ms; one in 50 may take up to 1.5 s.
        let is_late = self.random_below(50) == 0;
        let delay_ms = 1 + self.random_below(if is_late { 1_500 } else { 40 });
        self.in_flight
            .push((self.now_ms + delay_ms, from, to, payload));
    }

    fn deliver(&mut self) {
        let now_ms = self.now_ms;
        let (due, waiting) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|(due, ..)| *due <= now_ms);
        self.in_flight = waiting;
        let due: Vec<_> = due;
        for (_, from, to, payload) in due {
            self.nodes[to.0 as usize - 1].inbox.push((from, payload));
        }
    }

    fn inject_fault(&mut self) {
        self.next_fault_ms = self.now_ms + 200 + self.random_below(3_000);
        match self.random_below(8) {
            0 => self.blocked.clear(),
            1 | 2 => self.partition(),
            3 => self.block_some_directions(),
            4 | 5 => {
                let position = self.random_below(NODE_COUNT) as usize;
                let duration_ms = 300 + self.random_below(6_000);
                self.nodes[position].frozen_until_ms = self.now_ms + duration_ms;
            }
            6 => self.restart_random_node(),
            _ if self.has_operators => self.remove_random_member(),
            _ => {}
        }
    }

    /// Splits the nodes at random into two sides that cannot reach each other.
    fn partition(&mut self) {
        self.blocked.clear();
        let sides = self.next_random();
        let is_left = |id: ReplicaId| sides >> id.0 & 1 == 0;
        for from in (1..=NODE_COUNT).map(ReplicaId) {
            for to in (1..=NODE_COUNT).map(ReplicaId) {
                if is_left(from) != is_left(to) {
                    self.blocked.insert((from, to));
                }
            }
        }
    }

    /// Blocks up to 12 random directions between two nodes, in addition to those already blocked.
    fn block_some_directions(&mut self) {
        for _ in 0..1 + self.random_below(12) {
            let from = ReplicaId(1 + self.random_below(NODE_COUNT));
            let to = ReplicaId(1 + self.random_below(NODE_COUNT));
            self.blocked.insert((from, to));
        }
    }

    fn restart_random_node(&mut self) {
        let position = self.random_below(NODE_COUNT) as usize;
        let first_probe_number = self.next_random();
        let node = &self.nodes[position];
        let (id, disk, frozen_until_ms) = (node.id, node.disk.clone(), node.frozen_until_ms);
        self.nodes[position] = Node::new(id, disk, self.broken, first_probe_number);
        self.nodes[position].frozen_until_ms = frozen_until_ms;
    }

    /// An operator has the leader remove a random member, whether or not that member answers.
    fn remove_random_member(&mut self) {
        let random = self.next_random();
        let mut nodes = self.nodes.iter_mut();
        let Some(leader) = nodes.find(|node| node.replica.is_leader()) else {
            return;
        };
        let members: Vec<ReplicaId> = leader.state.replicas().keys().copied().collect();
        if members.len() <= 4 {
            return;
        }
        let replica = members[random as usize % members.len()];
        let kind = ChangeKind::Remove { replica };
        leader.propose(&ReplicasCommand::Begin {
            kind,
            addresses: None,
        });
    }
}

/// Runs one simulation for each seed and returns the maxima over all of them.
pub(super) fn simulate(
    seeds: std::ops::Range<u64>,
    broken: BrokenRule,
    has_operators: bool,
) -> Maxima {
    let mut all = Maxima::default();
    for seed in seeds {
        let maxima = Simulation::new(seed, broken, has_operators).run();
        if maxima.leased_share > ONE_BUCKET || maxima.removed_holders > 0 {
            println!("{broken:?}, seed {seed}: {maxima:?}");
        }
        all.leased_share = all.leased_share.max(maxima.leased_share);
        all.removed_holders = all.removed_holders.max(maxima.removed_holders);
        all.leaderless_ms = all.leaderless_ms.max(maxima.leaderless_ms);
    }
    all
}
