//! How many requests are answered at the same time, and who goes first when there are too many.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeSet, HashMap},
    rc::Rc,
    time::Duration,
};

use crate::{resends::CallerTry, servers::KindOfRequest, urgency::Urgency};

/// Part of the room that requests of the most urgent rank may fill; each further rank gets
/// [`RANK_STEP`] less.
const FIRST_RANK_PART: f64 = 1.0;
/// Room that a rank leaves to the one before it.
const RANK_STEP: f64 = 0.15;
/// The least part of the room for any rank.
const LEAST_PART: f64 = 0.4;
/// First tries of one kind that may be open beyond their aim; while there are more, new ones would be
/// late as well, and would make the others later.
const OVERDUE_LIMIT: usize = 24;

/// What the admission needs to know of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AdmissionClass {
    pub(crate) urgency: Urgency,
    pub(crate) kind: KindOfRequest,
    /// Until when it is worth most.
    pub(crate) due: Duration,
    pub(crate) caller_try: CallerTry,
}

/// Why a request is not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display)]
pub(crate) enum NotAdmitted {
    /// too many requests
    NoRoom,
    /// requests of this kind are late
    Overdue,
    /// most requests of this kind come to nothing
    Throttled,
}

/// The room for requests; cheap to clone.
#[derive(Clone)]
pub(crate) struct Admission {
    shared: Rc<Shared>,
}

struct Shared {
    limit: usize,
    open: Cell<usize>,
    admitted: Cell<u64>,
    /// When each open request of a kind is due, with its number.
    due: RefCell<HashMap<usize, BTreeSet<(Duration, u64)>>>,
}

/// A request's place; given back when it is dropped.
pub(crate) struct Admitted {
    shared: Rc<Shared>,
    kind: KindOfRequest,
    /// Absent for a second try.
    due: Option<(Duration, u64)>,
}

impl Admission {
    pub(crate) fn new(limit: usize) -> Self {
        let shared = Shared {
            limit,
            open: Cell::new(0),
            admitted: Cell::new(0),
            due: RefCell::default(),
        };
        Self {
            shared: Rc::new(shared),
        }
    }

    /// A place for a request. A second try has none after it: it is refused only for want of room.
    ///
    /// # Errors
    /// [`NotAdmitted`], at once: a refusal must come early.
    pub(crate) fn admit(
        &self,
        now: Duration,
        class: AdmissionClass,
    ) -> Result<Admitted, NotAdmitted> {
        let shared = &self.shared;
        let part = FIRST_RANK_PART - RANK_STEP * class.urgency.steps();
        let room = shared.limit as f64 * part.max(LEAST_PART);
        if shared.open.get() as f64 >= room {
            return Err(NotAdmitted::NoRoom);
        }
        let due = match class.caller_try {
            CallerTry::First => Some(shared.count_first(now, &class)?),
            CallerTry::Resend => None,
        };
        shared.open.set(shared.open.get() + 1);
        Ok(Admitted {
            shared: Rc::clone(shared),
            kind: class.kind,
            due,
        })
    }

    /// Requests that are being answered.
    pub(crate) fn open(&self) -> usize {
        self.shared.open.get()
    }
}

impl Shared {
    /// Counts a first try among those of its kind, unless too many of them are late.
    fn count_first(
        &self,
        now: Duration,
        class: &AdmissionClass,
    ) -> Result<(Duration, u64), NotAdmitted> {
        let mut all = self.due.borrow_mut();
        let of_kind = all.entry(class.kind.0).or_default();
        let overdue = of_kind.iter().take_while(|(due, _)| *due < now);
        if overdue.take(OVERDUE_LIMIT).count() == OVERDUE_LIMIT {
            return Err(NotAdmitted::Overdue);
        }
        let number = self.admitted.get() + 1;
        self.admitted.set(number);
        of_kind.insert((class.due, number));
        Ok((class.due, number))
    }
}

impl Drop for Admitted {
    fn drop(&mut self) {
        self.shared.open.set(self.shared.open.get() - 1);
        let Some(due) = self.due else {
            return;
        };
        let mut all = self.shared.due.borrow_mut();
        if let Some(of_kind) = all.get_mut(&self.kind.0) {
            of_kind.remove(&due);
            if of_kind.is_empty() {
                all.remove(&self.kind.0);
            }
        }
    }
}

#[cfg(test)]
mod tests;
