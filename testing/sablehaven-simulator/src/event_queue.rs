//! Simulated time and the events that happen in it.

use std::{
    cmp::{Ordering, Reverse},
    collections::BinaryHeap,
};

/// A moment of simulated time, in microseconds since the start of the run.
pub type Micros = u64;

/// Microseconds of one millisecond.
pub const MILLISECOND: Micros = 1_000;

/// Microseconds of one second.
pub const SECOND: Micros = 1_000_000;

struct Scheduled<Event> {
    at: Micros,
    number: u64,
    event: Event,
}

impl<Event> Scheduled<Event> {
    fn key(&self) -> (Micros, u64) {
        (self.at, self.number)
    }
}

impl<Event> PartialEq for Scheduled<Event> {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl<Event> Eq for Scheduled<Event> {}

impl<Event> PartialOrd for Scheduled<Event> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<Event> Ord for Scheduled<Event> {
    fn cmp(&self, other: &Self) -> Ordering {
        self.key().cmp(&other.key())
    }
}

/// Events in order of time; those of the same moment in the order in which they were scheduled.
pub struct EventQueue<Event> {
    heap: BinaryHeap<Reverse<Scheduled<Event>>>,
    scheduled: u64,
}

impl<Event> Default for EventQueue<Event> {
    fn default() -> Self {
        Self {
            heap: BinaryHeap::new(),
            scheduled: 0,
        }
    }
}

impl<Event> EventQueue<Event> {
    /// Schedules an event.
    pub fn push(&mut self, at: Micros, event: Event) {
        self.scheduled += 1;
        let number = self.scheduled;
        self.heap.push(Reverse(Scheduled { at, number, event }));
    }

    /// The next event with its time.
    pub fn pop(&mut self) -> Option<(Micros, Event)> {
        let Reverse(next) = self.heap.pop()?;
        Some((next.at, next.event))
    }
}
