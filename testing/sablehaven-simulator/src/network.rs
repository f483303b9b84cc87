//! The links: delay, loss, duplication, reordering, and cuts in one or both directions.

use std::collections::BTreeSet;

use crate::{
    event_queue::{MILLISECOND, Micros},
    random::Random,
};

/// Regions of the simulated deployment.
pub const REGIONS: usize = 3;

/// One-way latency within a region (the brief: about 1 ms between zones).
const WITHIN_REGION: Micros = MILLISECOND;

/// One-way latency between regions (the brief: about 10 ms).
const BETWEEN_REGIONS: Micros = 10 * MILLISECOND;

/// The longest extra delay of a slow message.
const LONGEST_EXTRA_DELAY: Micros = 1_500 * MILLISECOND;

/// A simulated process by its place, which stays over restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum NodeId {
    /// A control machine.
    Control(usize),
    /// A relay.
    Relay(usize),
    /// An agent.
    Agent(usize),
    /// An operator, who changes and reads the configuration.
    Operator(usize),
    /// The operator who replaces control machines.
    Administrator,
    /// A caller.
    Caller(usize),
    /// The back ends that run what may not be repeated.
    Backends,
}

impl NodeId {
    /// The region it is in.
    pub fn region(self) -> usize {
        match self {
            Self::Control(index)
            | Self::Relay(index)
            | Self::Agent(index)
            | Self::Operator(index)
            | Self::Caller(index) => index % REGIONS,
            Self::Administrator | Self::Backends => 0,
        }
    }

    /// Whether messages between the two ride on one connection whose loss the sender sees, so that
    /// the network does not repeat them: callers' and back ends' requests.
    fn is_call(self, other: Self) -> bool {
        let is_end = |node| matches!(node, Self::Caller(_) | Self::Backends);
        is_end(self) || is_end(other)
    }
}

/// How unreliable the links are, each in thousandths of the messages.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkQuality {
    /// Messages that are lost.
    pub loss: u64,
    /// Messages that arrive twice.
    pub duplication: u64,
    /// Messages that are late, and so overtaken by others.
    pub lateness: u64,
}

/// The state of the links.
#[derive(Clone, Debug, Default)]
pub struct Network {
    /// How unreliable all links are.
    pub quality: LinkQuality,
    cuts: BTreeSet<(NodeId, NodeId)>,
    cut_regions: BTreeSet<usize>,
}

impl Network {
    /// When a message sent now arrives, counted from now; more than once if it is repeated.
    pub fn delays(&self, random: &mut Random, from: NodeId, to: NodeId) -> Vec<Micros> {
        if self.is_cut(from, to) || random.chance(self.quality.loss) {
            return Vec::new();
        }
        let mut delays = vec![self.delay(random, from, to)];
        if !from.is_call(to) && random.chance(self.quality.duplication) {
            delays.push(self.delay(random, from, to));
        }
        delays
    }

    fn delay(&self, random: &mut Random, from: NodeId, to: NodeId) -> Micros {
        let base = match from.region() == to.region() {
            true => WITHIN_REGION,
            false => BETWEEN_REGIONS,
        };
        let jitter = random.between(0, base / 4);
        let extra = match random.chance(self.quality.lateness) {
            true => random.between(0, LONGEST_EXTRA_DELAY),
            false => 0,
        };
        base + jitter + extra
    }

    /// Whether messages from one to the other are lost now.
    pub fn is_cut(&self, from: NodeId, to: NodeId) -> bool {
        let is_region_cut = |node: NodeId| self.cut_regions.contains(&node.region());
        let crosses = from.region() != to.region() && (is_region_cut(from) || is_region_cut(to));
        // Back ends stand for servers in every region.
        let has_place = from != NodeId::Backends && to != NodeId::Backends;
        (crosses && has_place) || self.cuts.contains(&(from, to))
    }

    /// Loses every message from one to the other from now on.
    pub fn cut(&mut self, from: NodeId, to: NodeId) {
        self.cuts.insert((from, to));
    }

    /// Ends a cut.
    pub fn mend(&mut self, from: NodeId, to: NodeId) {
        self.cuts.remove(&(from, to));
    }

    /// Cuts a region off from the others.
    pub fn cut_region(&mut self, region: usize) {
        self.cut_regions.insert(region);
    }

    /// Ends the cut of a region.
    pub fn mend_region(&mut self, region: usize) {
        self.cut_regions.remove(&region);
    }

    /// Ends every cut and makes the links reliable.
    pub fn heal(&mut self) {
        *self = Self::default();
    }
}
