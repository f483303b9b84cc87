//! Limits how many requests are open at the same time, and prefers urgent ones when there are too many.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeSet, HashMap},
    rc::Rc,
    time::Duration,
};

use crate::{resends::CallerTry, servers::RouteId, urgency::Urgency};

/// Fraction of the limit that requests of the most urgent level may use. Each further level may use
/// [`FRACTION_PER_LEVEL`] less.
const TOP_LEVEL_FRACTION: f64 = 1.0;
/// Fraction of the limit that each level leaves to more urgent ones.
const FRACTION_PER_LEVEL: f64 = 0.15;
/// Minimum fraction of the limit for any level.
const MIN_FRACTION: f64 = 0.4;
/// Number of first tries of one kind that may be open past their latency target. While there are this many, a new one
/// would be late as well, and would delay the others further.
const MAX_OVERDUE: usize = 24;

/// The properties of a request that the admission uses.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AdmissionClass {
    pub(crate) urgency: Urgency,
    pub(crate) kind: RouteId,
    /// When its latency target ends.
    pub(crate) due: Duration,
    pub(crate) caller_try: CallerTry,
}

/// Why a request is not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display)]
pub(crate) enum NotAdmitted {
    /// too many requests
    LimitReached,
    /// too many requests of this kind are past their latency target
    Overdue,
    /// most requests of this kind fail or are late
    Throttled,
}

/// The admission limit of one gateway; cheap to clone.
#[derive(Clone)]
pub(crate) struct Admission {
    shared: Rc<Shared>,
}

struct Shared {
    limit: usize,
    open: Cell<usize>,
    admitted: Cell<u64>,
    /// When each open request is due, with its number, by kind.
    due: RefCell<HashMap<usize, BTreeSet<(Duration, u64)>>>,
}

/// The slot of an admitted request, which is released when this is dropped.
pub(crate) struct Admitted {
    shared: Rc<Shared>,
    kind: RouteId,
    /// `None` for a resend.
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

    /// Reserves a slot for a request. A resend is the caller's last try, so it is refused only if the limit is
    /// reached.
    ///
    /// # Errors
    /// [`NotAdmitted`], without waiting, so that the caller learns of the refusal early.
    pub(crate) fn admit(
        &self,
        now: Duration,
        class: AdmissionClass,
    ) -> Result<Admitted, NotAdmitted> {
        let shared = &self.shared;
        let fraction = TOP_LEVEL_FRACTION - FRACTION_PER_LEVEL * class.urgency.level();
        let available = shared.limit as f64 * fraction.max(MIN_FRACTION);
        if shared.open.get() as f64 >= available {
            return Err(NotAdmitted::LimitReached);
        }
        let due = match class.caller_try {
            CallerTry::First => Some(shared.track_due(now, &class)?),
            CallerTry::Resend => None,
        };
        shared.open.set(shared.open.get() + 1);
        Ok(Admitted {
            shared: Rc::clone(shared),
            kind: class.kind,
            due,
        })
    }

    /// Number of open requests.
    pub(crate) fn open(&self) -> usize {
        self.shared.open.get()
    }
}

impl Shared {
    /// Tracks when a first try is due, unless too many of its kind are overdue.
    fn track_due(
        &self,
        now: Duration,
        class: &AdmissionClass,
    ) -> Result<(Duration, u64), NotAdmitted> {
        let mut due_by_kind = self.due.borrow_mut();
        let of_kind = due_by_kind.entry(class.kind.0).or_default();
        let overdue = of_kind.iter().take_while(|(due, _)| *due < now);
        if overdue.take(MAX_OVERDUE).count() == MAX_OVERDUE {
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
        let mut due_by_kind = self.shared.due.borrow_mut();
        if let Some(of_kind) = due_by_kind.get_mut(&self.kind.0) {
            of_kind.remove(&due);
            if of_kind.is_empty() {
                due_by_kind.remove(&self.kind.0);
            }
        }
    }
}

#[cfg(test)]
mod tests;
