//! How many requests are answered at the same time, and who goes first when there are too many.

use std::{cell::Cell, rc::Rc};

/// Part of the room that requests of the most urgent rank may fill; each further rank gets
/// [`RANK_STEP`] less.
const FIRST_RANK_PART: f64 = 1.0;
/// Room that a rank leaves to the one before it.
const RANK_STEP: f64 = 0.15;
/// The least part of the room for any rank.
const LEAST_PART: f64 = 0.4;

/// The room for requests; cheap to clone.
#[derive(Clone)]
pub(crate) struct Admission {
    open: Rc<Cell<usize>>,
    limit: usize,
}

/// A request's place; given back when it is dropped.
pub(crate) struct Admitted {
    open: Rc<Cell<usize>>,
}

impl Admission {
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            open: Rc::default(),
            limit,
        }
    }

    /// A place for a request of a rank (0 is the most urgent), if there is room.
    pub(crate) fn admit(&self, priority: u32) -> Option<Admitted> {
        let part = FIRST_RANK_PART - RANK_STEP * f64::from(priority);
        let room = self.limit as f64 * part.max(LEAST_PART);
        if self.open.get() as f64 >= room {
            return None;
        }
        self.open.set(self.open.get() + 1);
        Some(Admitted {
            open: Rc::clone(&self.open),
        })
    }

    /// Requests that are being answered.
    pub(crate) fn open(&self) -> usize {
        self.open.get()
    }
}

impl Drop for Admitted {
    fn drop(&mut self) {
        self.open.set(self.open.get() - 1);
    }
}

#[cfg(test)]
mod tests;
