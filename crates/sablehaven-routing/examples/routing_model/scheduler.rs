//! The queue of future events, in order of time and, at the same time, of scheduling.

use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::time::Duration;

struct Scheduled<Event> {
    at: Duration,
    sequence: u64,
    event: Event,
}

impl<Event> Scheduled<Event> {
    fn order(&self) -> (Duration, u64) {
        (self.at, self.sequence)
    }
}

impl<Event> PartialEq for Scheduled<Event> {
    fn eq(&self, other: &Self) -> bool {
        self.order() == other.order()
    }
}

impl<Event> Eq for Scheduled<Event> {}

impl<Event> PartialOrd for Scheduled<Event> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<Event> Ord for Scheduled<Event> {
    /// Reversed, because the heap gives its greatest element first.
    fn cmp(&self, other: &Self) -> Ordering {
        other.order().cmp(&self.order())
    }
}

/// The queue of future events and the time of the latest one taken.
pub struct Scheduler<Event> {
    heap: BinaryHeap<Scheduled<Event>>,
    now: Duration,
    sequence: u64,
}

impl<Event> Default for Scheduler<Event> {
    fn default() -> Self {
        Self {
            heap: BinaryHeap::new(),
            now: Duration::ZERO,
            sequence: 0,
        }
    }
}

impl<Event> Scheduler<Event> {
    /// The time of the latest event taken.
    pub fn now(&self) -> Duration {
        self.now
    }

    /// Schedules an event.
    pub fn at(&mut self, at: Duration, event: Event) {
        self.sequence += 1;
        self.heap.push(Scheduled {
            at: at.max(self.now),
            sequence: self.sequence,
            event,
        });
    }

    /// Schedules an event after a delay.
    pub fn after(&mut self, delay: Duration, event: Event) {
        self.at(self.now + delay, event);
    }

    /// Takes the next event before `end`.
    pub fn next_before(&mut self, end: Duration) -> Option<Event> {
        if self.heap.peek()?.at >= end {
            return None;
        }
        let next = self.heap.pop()?;
        self.now = next.at;
        Some(next.event)
    }
}
