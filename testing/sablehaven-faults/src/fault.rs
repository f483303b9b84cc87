//! The faults that a proxy can bring about.

use std::{collections::BTreeMap, net::IpAddr, time::Duration};

use serde::{Deserialize, Serialize};

/// A direction of a link, seen from whoever opened the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Direction {
    /// From the one who connected to the process behind the proxy: requests.
    Forward,
    /// From the process behind the proxy: replies.
    Backward,
}

/// Faults of a link; the default is none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// New connections are closed at once.
    pub refuse_connections: bool,
    /// Faults of requests.
    pub forward: DirectionFaults,
    /// Faults of replies.
    pub backward: DirectionFaults,
    /// The share of request chunks after whose delivery the connection is reset towards the one who
    /// opened it, in thousandths. The other side is kept open, so that the request runs.
    pub reset_after_delivery_per_mille: u32,
}

impl Faults {
    /// The faults of one direction.
    pub fn direction(&self, direction: Direction) -> &DirectionFaults {
        match direction {
            Direction::Forward => &self.forward,
            Direction::Backward => &self.backward,
        }
    }

    /// The faults of one direction, to be changed.
    pub fn direction_mut(&mut self, direction: Direction) -> &mut DirectionFaults {
        match direction {
            Direction::Forward => &mut self.forward,
            Direction::Backward => &mut self.backward,
        }
    }

    /// Latency in both directions.
    pub fn latency(one_way: Duration) -> Self {
        let slow = DirectionFaults {
            delay: one_way,
            ..DirectionFaults::default()
        };
        Self {
            forward: slow,
            backward: slow,
            ..Self::default()
        }
    }

    /// A silent cut of one direction.
    pub fn cut(direction: Direction) -> Self {
        let mut faults = Self::default();
        faults.direction_mut(direction).hold = true;
        faults
    }

    /// A silent cut of both directions.
    pub fn freeze() -> Self {
        let mut faults = Self::cut(Direction::Forward);
        faults.backward.hold = true;
        faults
    }
}

/// Faults of one direction; the default is none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DirectionFaults {
    /// Every byte arrives this much later.
    pub delay: Duration,
    /// Every chunk arrives up to this much later still; bytes keep their order.
    pub jitter: Duration,
    /// Bytes pass no faster than this, in bytes a second.
    pub bytes_per_second: Option<u64>,
    /// Nothing passes, silently. What was sent meanwhile arrives when the hold ends, as TCP would
    /// deliver it after a network's cut has healed.
    pub hold: bool,
    /// Each connection passes this many bytes more, then ends as if the sender had closed it.
    pub truncate_after: Option<u64>,
    /// The share of chunks at which the connection is reset, in thousandths.
    pub reset_per_mille: u32,
    /// The bodies of HTTP/2 replies that come within this time of each other end in reverse order.
    /// Headers keep their order, since their compression depends on it.
    pub reorder_within: Option<Duration>,
}

/// The faults in force on a proxy: for everyone, and for those who connect from some addresses.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct FaultTable {
    pub everyone: Faults,
    /// Stand in place of those for everyone.
    pub by_source: BTreeMap<IpAddr, Faults>,
    /// The distance of those who connect from some addresses; no fault, so healing leaves it.
    pub latency: BTreeMap<IpAddr, Duration>,
}

impl FaultTable {
    /// The faults of connections from an address.
    pub(crate) fn of(&self, source: IpAddr) -> &Faults {
        self.by_source.get(&source).unwrap_or(&self.everyone)
    }
}
