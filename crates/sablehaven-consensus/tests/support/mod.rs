//! An in-memory group. Messages are delivered immediately and in order, unless their link is
//! blocked.

#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use sablehaven_consensus::{
    Config, Entry, EntryPayload, Message, PersistentState, Ready, Replica, ReplicaId, Role,
    Snapshot,
};

pub struct Node {
    pub replica: Replica,
    pub disk: PersistentState,
    pub snapshot_data: Vec<u8>,
    pub applied: Vec<Entry>,
    /// The token and index of each confirmed read.
    pub reads: Vec<(u64, u64)>,
    pub refused_reads: Vec<u64>,
    pub needs_snapshot: bool,
}

pub struct Cluster {
    pub nodes: BTreeMap<ReplicaId, Node>,
    /// Pairs of sender and receiver whose messages are dropped.
    pub blocked_links: BTreeSet<(ReplicaId, ReplicaId)>,
    pub config: Config,
    /// Sender, receiver and contents of each message sent over a link that is not blocked.
    pub sent: Vec<(ReplicaId, ReplicaId, Message)>,
}

pub fn id(number: u64) -> ReplicaId {
    ReplicaId(number)
}

pub fn ids(numbers: &[u64]) -> BTreeSet<ReplicaId> {
    numbers.iter().map(|number| id(*number)).collect()
}

pub fn commands(entries: &[Entry]) -> Vec<String> {
    let command = |entry: &Entry| match &entry.payload {
        EntryPayload::Command(bytes) => Some(String::from_utf8_lossy(bytes).into_owned()),
        _ => None,
    };
    entries.iter().filter_map(command).collect()
}

/// Applies the writes of a ready to a disk, as storage does.
pub fn write_ready(disk: &mut PersistentState, ready: &Ready) {
    if let Some(hard_state) = ready.hard_state {
        disk.hard_state = hard_state;
    }
    if let Some(snapshot) = &ready.snapshot {
        disk.snapshot = snapshot.metadata.clone();
        disk.entries.clear();
    }
    if let Some(first) = ready.entries.first() {
        disk.entries.retain(|entry| entry.index < first.index);
        disk.entries.extend(ready.entries.iter().cloned());
    }
}

impl Node {
    pub fn new(config: &Config, id: ReplicaId, disk: PersistentState) -> Self {
        Self {
            replica: Replica::new(config.clone(), id, disk.clone()),
            disk,
            snapshot_data: Vec::new(),
            applied: Vec::new(),
            reads: Vec::new(),
            refused_reads: Vec::new(),
            needs_snapshot: false,
        }
    }

    /// Processes readies until nothing is left to do. Returns their messages in the order in which
    /// they may be sent.
    pub fn process_readies(&mut self) -> Vec<(ReplicaId, Message)> {
        let mut messages = Vec::new();
        loop {
            let ready = self.replica.take_ready();
            self.needs_snapshot = ready.needs_snapshot;
            if ready.is_empty() {
                return messages;
            }
            write_ready(&mut self.disk, &ready);
            self.replica.persisted(ready.number);
            messages.extend(ready.messages_before_sync);
            messages.extend(ready.messages_after_sync);
            if let Some(Snapshot { data, .. }) = ready.snapshot {
                self.snapshot_data = data;
            }
            self.applied.extend(ready.committed);
            let answers = ready.reads.iter().map(|read| (read.token, read.index));
            self.reads.extend(answers);
            self.refused_reads.extend(ready.refused_reads);
            assert_eq!(ready.fault, None);
        }
    }
}

impl Cluster {
    pub fn new(voters: &[u64]) -> Self {
        Self::with_config(voters, Config::default())
    }

    pub fn with_config(voters: &[u64], config: Config) -> Self {
        let mut cluster = Self {
            nodes: BTreeMap::new(),
            blocked_links: BTreeSet::new(),
            config,
            sent: Vec::new(),
        };
        for voter in voters {
            cluster.start(*voter, PersistentState::bootstrap(ids(voters)));
        }
        cluster
    }

    pub fn start(&mut self, number: u64, disk: PersistentState) {
        let node = Node::new(&self.config, id(number), disk);
        self.nodes.insert(id(number), node);
    }

    /// Stops a replica and restarts it from its disk.
    pub fn restart(&mut self, number: u64) {
        let disk = self.node(number).disk.clone();
        self.start(number, disk);
    }

    pub fn node(&mut self, number: u64) -> &mut Node {
        self.nodes.get_mut(&id(number)).expect("the node exists")
    }

    pub fn replica(&mut self, number: u64) -> &mut Replica {
        &mut self.node(number).replica
    }

    /// Blocks all links of a replica.
    pub fn partition(&mut self, number: u64) {
        for other in self.nodes.keys() {
            self.blocked_links.insert((id(number), *other));
            self.blocked_links.insert((*other, id(number)));
        }
    }

    pub fn heal(&mut self) {
        self.blocked_links.clear();
    }

    /// Delivers messages until none are left.
    pub fn deliver_all(&mut self) {
        let mut queue = VecDeque::new();
        loop {
            for (from, node) in &mut self.nodes {
                let messages = node.process_readies().into_iter();
                queue.extend(messages.map(|(to, message)| (*from, to, message)));
            }
            if queue.is_empty() {
                return;
            }
            for (from, to, message) in queue.drain(..) {
                if self.blocked_links.contains(&(from, to)) {
                    continue;
                }
                self.sent.push((from, to, message.clone()));
                if let Some(node) = self.nodes.get_mut(&to) {
                    node.replica.receive(from, message);
                }
            }
        }
    }

    pub fn tick_all(&mut self) {
        for node in self.nodes.values_mut() {
            node.replica.tick();
        }
        self.deliver_all();
    }

    pub fn tick_times(&mut self, count: u32) {
        for _ in 0..count {
            self.tick_all();
        }
    }

    /// Makes all followers lose contact with their leader, then ticks one replica until it is
    /// elected.
    pub fn elect(&mut self, number: u64) {
        let timeout = self.config.election_timeout_ticks;
        for node in self.nodes.values_mut() {
            if node.replica.status().role == Role::Leader {
                continue;
            }
            for _ in 0..timeout {
                node.replica.tick();
            }
            // Drops the vote requests of the replica's own elections.
            node.replica.take_ready();
        }
        for _ in 0..200 {
            if self.replica(number).status().role == Role::Leader {
                return;
            }
            self.replica(number).tick();
            self.deliver_all();
        }
        panic!("replica {number} was not elected");
    }

    pub fn propose(&mut self, number: u64, command: &str) {
        let commands = vec![command.as_bytes().to_vec()];
        self.replica(number)
            .propose(commands)
            .expect("the replica is the leader");
    }

    pub fn leaders(&mut self) -> Vec<ReplicaId> {
        let nodes = self.nodes.iter();
        nodes
            .filter(|(_, node)| node.replica.status().role == Role::Leader)
            .map(|(id, _)| *id)
            .collect()
    }

    /// Returns the messages sent since the last call.
    pub fn take_sent(&mut self) -> Vec<(ReplicaId, ReplicaId, Message)> {
        std::mem::take(&mut self.sent)
    }
}

/// Makes a replica win an election with its own vote and that of `voter`.
pub fn win_election(replica: &mut Replica, voter: u64) {
    while replica.status().role != Role::PreCandidate {
        replica.tick();
    }
    let term = replica.status().term;
    let (next_term, granted) = (term + 1, true);
    let pre_vote = Message::PreVoteReply {
        term,
        next_term,
        granted,
    };
    replica.receive(id(voter), pre_vote);
    let ready = replica.take_ready();
    replica.persisted(ready.number);
    let term = next_term;
    replica.receive(id(voter), Message::VoteReply { term, granted });
    let ready = replica.take_ready();
    replica.persisted(ready.number);
    assert_eq!(replica.status().role, Role::Leader);
}
