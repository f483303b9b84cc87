//! Replicas over a network that delays, cuts in one direction or both, with freezes, restarts, operators' and leaders'
//! changes of the members: however these fall together, no more than one bucket's worth of parts is held at any time.

mod node;

pub(super) use node::{Broken, ONE_BUCKET};

use std::collections::BTreeSet;

use sablehaven_consensus::{EntryPayload, Membership, ReplicaId, Restored};

use self::node::*;
use super::*;
use crate::replicas::{ChangeKind, ReplicasCommand};

pub(super) struct Simulation {
    broken: Broken,
    now: u64,
    nodes: Vec<Node>,
    mail: Vec<(u64, ReplicaId, ReplicaId, Mail)>,
    cut: BTreeSet<(ReplicaId, ReplicaId)>,
    random: u64,
    next_event: u64,
    has_operators: bool,
    /// The newest members that are committed, and where they stand in the log.
    newest: (u64, Membership),
    seen: Seen,
}

/// What was seen of the parts.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Seen {
    /// The most that was held at once, as a part of the bucket.
    pub(super) most: f64,
    /// The most replicas that held a part at once after the change was done that took them out.
    pub(super) outsiders: usize,
    /// The longest time that a replica held its part without hearing a leader, in milliseconds.
    pub(super) leaderless: u64,
}

impl Simulation {
    pub(super) fn new(seed: u64, broken: Broken, has_operators: bool) -> Self {
        let voters: BTreeSet<ReplicaId> = (1..=MEMBERS).map(ReplicaId).collect();
        let mut simulation = Self {
            broken,
            now: 0,
            nodes: Vec::new(),
            mail: Vec::new(),
            cut: BTreeSet::new(),
            random: seed.wrapping_mul(0x9e37_79b9_7f4a_7c15),
            next_event: 3_000,
            has_operators,
            newest: (0, Membership::default()),
            seen: Seen::default(),
        };
        for number in 1..=NODES {
            let id = ReplicaId(number);
            let disk = if voters.contains(&id) {
                Restored::bootstrap(voters.clone())
            } else {
                Restored::default()
            };
            let random = simulation.draw();
            simulation.nodes.push(Node::new(id, disk, broken, random));
        }
        simulation
    }

    /// SplitMix64 (Steele, Lea and Flood, 2014).
    fn draw(&mut self) -> u64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.random;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    fn below(&mut self, limit: u64) -> u64 {
        self.draw() % limit
    }

    pub(super) fn play(mut self) -> Seen {
        while self.now < LENGTH {
            self.now += TICK;
            if self.now >= self.next_event {
                self.disturb();
            }
            self.deliver();
            for position in 0..self.nodes.len() {
                if self.nodes[position].frozen_until <= self.now {
                    self.turn(position);
                }
            }
            let held: f64 = self.nodes.iter().map(|node| node.share(self.now)).sum();
            self.seen.most = self.seen.most.max(held);
            self.note_outsiders();
            self.note_leaderless();
        }
        self.seen
    }

    fn note_outsiders(&mut self) {
        for node in &self.nodes {
            let status = node.replica.status();
            let is_committed = status.membership_index <= status.commit;
            if is_committed && status.membership_index > self.newest.0 {
                self.newest = (status.membership_index, status.membership);
            }
        }
        let newest = &self.newest.1;
        if newest.voters.is_empty() {
            return;
        }
        let latest = self.nodes.iter().max_by_key(|node| node.applied);
        let change = latest.and_then(|node| node.state.change());
        let leaving = change.and_then(|change| change.kind.removed());
        let holding = self.nodes.iter().filter(|node| node.share(self.now) > 0.0);
        let outsiders = holding.filter(|node| {
            let is_behind = node.replica.status().membership_index < self.newest.0;
            is_behind && !newest.voters.contains(&node.id) && leaving != Some(node.id)
        });
        self.seen.outsiders = self.seen.outsiders.max(outsiders.count());
    }

    /// How long a node that hears no leader has held its part.
    fn note_leaderless(&mut self) {
        let holding = self.nodes.iter().filter(|node| node.share(self.now) > 0.0);
        let silent = holding.map(|node| u64::from(node.replica.status().leader_silent_ticks));
        let leaderless = self.nodes.iter().all(|node| !node.replica.is_leader());
        if leaderless && let Some(longest) = silent.max() {
            self.seen.leaderless = self.seen.leaderless.max(longest * TICK);
        }
    }

    fn turn(&mut self, position: usize) {
        let now = self.now;
        let inbox = std::mem::take(&mut self.nodes[position].inbox);
        for (from, mail) in inbox {
            self.receive(position, from, mail);
        }
        let all: Vec<ReplicaId> = self.nodes.iter().map(|node| node.id).collect();
        let node = &mut self.nodes[position];
        node.replica.tick();
        node.lead(now, &all);
        if now.is_multiple_of(LOOK) {
            self.ask(position);
            self.nodes[position].look(now);
        }
        self.work(position);
    }

    fn ask(&mut self, position: usize) {
        let now = self.now;
        let node = &mut self.nodes[position];
        let (id, leader) = (node.id, node.replica.leader());
        let number = node.hold.ask(at(now));
        if leader == Some(id) {
            node.probes.push((id, number));
            return;
        }
        for to in (1..=NODES).map(ReplicaId).filter(|to| *to != id) {
            self.send(id, to, Mail::Probe(number));
        }
    }

    fn receive(&mut self, position: usize, from: ReplicaId, mail: Mail) {
        let now = at(self.now);
        let node = &mut self.nodes[position];
        let id = node.id;
        match mail {
            Mail::Consensus(message) => node.replica.receive(from, message),
            Mail::Probe(number) if node.replica.is_leader() => node.probes.push((from, number)),
            Mail::Probe(number) => {
                if let Some(index) = node.contact().leaderless_at() {
                    self.send(id, from, Mail::Leaderless(number, index));
                }
            }
            Mail::Granted(_) if self.broken == Broken::Freshness => {
                let number = node.hold.ask(now);
                node.hold.record_grant(number);
            }
            Mail::Granted(number) => node.hold.record_grant(number),
            Mail::Leaderless(number, index) => {
                let contact = node.contact();
                node.hold.leaderless(now, number, from, index, &contact);
            }
        }
    }

    fn work(&mut self, position: usize) {
        let id = self.nodes[position].id;
        loop {
            let node = &mut self.nodes[position];
            let ready = node.replica.take_ready();
            if ready.is_empty() {
                return;
            }
            assert_eq!(ready.fault, None);
            write(&mut node.disk, &ready);
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
                self.send(id, to, Mail::Consensus(message));
            }
            if is_proven {
                self.grant(position);
            }
        }
    }

    fn grant(&mut self, position: usize) {
        let (now, id) = (self.now, self.nodes[position].id);
        let others = self.nodes.iter().filter(|node| node.frozen_until <= now);
        let connected = others.map(|node| node.id).filter(|other| {
            let is_cut = self.cut.contains(&(id, *other)) || self.cut.contains(&(*other, id));
            !is_cut
        });
        let newcomers: Vec<ReplicaId> = connected.collect();
        for (member, number) in self.nodes[position].proven(now, &newcomers) {
            if member == id {
                self.nodes[position].hold.record_grant(number);
            } else {
                self.send(id, member, Mail::Granted(number));
            }
        }
    }

    fn send(&mut self, from: ReplicaId, to: ReplicaId, mail: Mail) {
        if self.cut.contains(&(from, to)) {
            return;
        }
        // Most arrive soon, a few much later.
        let is_late = self.below(50) == 0;
        let delay = 1 + self.below(if is_late { 1_500 } else { 40 });
        self.mail.push((self.now + delay, from, to, mail));
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, waiting) = std::mem::take(&mut self.mail)
            .into_iter()
            .partition(|(due, ..)| *due <= now);
        self.mail = waiting;
        let due: Vec<_> = due;
        for (_, from, to, mail) in due {
            self.nodes[to.0 as usize - 1].inbox.push((from, mail));
        }
    }

    fn disturb(&mut self) {
        self.next_event = self.now + 200 + self.below(3_000);
        match self.below(8) {
            0 => self.cut.clear(),
            1 | 2 => self.split(),
            3 => self.cut_one_way(),
            4 | 5 => {
                let position = self.below(NODES) as usize;
                let length = 300 + self.below(6_000);
                self.nodes[position].frozen_until = self.now + length;
            }
            6 => self.restart(),
            _ if self.has_operators => self.operate(),
            _ => {}
        }
    }

    fn split(&mut self) {
        self.cut.clear();
        let side = self.draw();
        let is_left = |id: ReplicaId| side >> id.0 & 1 == 0;
        for from in (1..=NODES).map(ReplicaId) {
            for to in (1..=NODES).map(ReplicaId) {
                if is_left(from) != is_left(to) {
                    self.cut.insert((from, to));
                }
            }
        }
    }

    fn cut_one_way(&mut self) {
        for _ in 0..1 + self.below(12) {
            let from = ReplicaId(1 + self.below(NODES));
            let to = ReplicaId(1 + self.below(NODES));
            self.cut.insert((from, to));
        }
    }

    fn restart(&mut self) {
        let position = self.below(NODES) as usize;
        let random = self.draw();
        let node = &self.nodes[position];
        let (id, disk, frozen_until) = (node.id, node.disk.clone(), node.frozen_until);
        self.nodes[position] = Node::new(id, disk, self.broken, random);
        self.nodes[position].frozen_until = frozen_until;
    }

    /// An operator has the leader take out some member, whether or not it answers.
    fn operate(&mut self) {
        let drawn = self.draw();
        let mut nodes = self.nodes.iter_mut();
        let Some(leader) = nodes.find(|node| node.replica.is_leader()) else {
            return;
        };
        let members: Vec<ReplicaId> = leader.state.replicas().keys().copied().collect();
        if members.len() <= 4 {
            return;
        }
        let replica = members[drawn as usize % members.len()];
        let kind = ChangeKind::Remove { replica };
        leader.propose(&ReplicasCommand::Begin {
            kind,
            addresses: None,
        });
    }
}

/// The most that is seen over these seeds.
pub(super) fn seen(seeds: std::ops::Range<u64>, broken: Broken, has_operators: bool) -> Seen {
    let mut all = Seen::default();
    for seed in seeds {
        let seen = Simulation::new(seed, broken, has_operators).play();
        if seen.most > ONE_BUCKET || seen.outsiders > 0 {
            println!("{broken:?}, seed {seed}: {seen:?}");
        }
        all.most = all.most.max(seen.most);
        all.outsiders = all.outsiders.max(seen.outsiders);
        all.leaderless = all.leaderless.max(seen.leaderless);
    }
    all
}
