//! The event queue, ordered by time; events at the same time keep the order of scheduling.

use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::time::Duration;

struct Scheduled<Event> {
    at: Duration,
    sequence: u64,
    event: Event,
}

impl<Event> Scheduled<Event> {
    fn sort_key(&self) -> (Duration, u64) {
        (self.at, self.sequence)
    }
}

impl<Event> PartialEq for Scheduled<Event> {
    fn eq(&self, other: &Self) -> bool {
        self.sort_key() == other.sort_key()
    }
}

impl<Event> Eq for Scheduled<Event> {}

impl<Event> PartialOrd for Scheduled<Event> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<Event> Ord for Scheduled<Event> {
    /// Reversed, because `BinaryHeap` is a max-heap and the earliest event comes first.
    fn cmp(&self, other: &Self) -> Ordering {
        other.sort_key().cmp(&self.sort_key())
    }
}

/// The event queue and the simulated time.
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
    /// Returns the simulated time, which is the time of the last event taken.
    pub fn now(&self) -> Duration {
        self.now
    }

    /// Schedules an event at a time, or now if that time has passed.
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

    /// Advances to the next event before `end` and returns it.
    pub fn next_before(&mut self, end: Duration) -> Option<Event> {
        if self.heap.peek()?.at >= end {
            return None;
        }
        let next = self.heap.pop()?;
        self.now = next.at;
        Some(next.event)
    }
}
