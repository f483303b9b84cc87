//! The budget of extra attempts of one service: a gateway's part of what all gateways share.

use std::{collections::VecDeque, time::Duration};

use crate::RetryBounds;

/// Parts of the window that are counted apart; a part is forgotten as a whole.
const PARTS: u32 = 20;
/// Share of the bound that is used: a window of the judges may begin inside a part.
const USED_SHARE: f64 = 0.85;

/// Counts of one part of the window.
#[derive(Clone, Copy, Debug, Default)]
struct Part {
    number: u64,
    needed: u32,
    extra: u32,
}

/// How much of a budget is used at one moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct BudgetLevel {
    /// Extra attempts that the window bears.
    allowed: f64,
    /// Extra attempts that were taken in the window.
    used: f64,
}

impl BudgetLevel {
    /// Extra attempts that are left, with a fraction.
    pub(crate) fn remaining(&self) -> f64 {
        self.allowed - self.used
    }

    /// Whether the budget bears one more attempt that leaves this share (0 to 1) of it to others.
    pub(crate) fn allows(&self, reserve: f64) -> bool {
        self.used + 1.0 <= self.allowed * (1.0 - reserve)
    }
}

/// The budget of one service in one gateway.
#[derive(Clone, Debug)]
pub(crate) struct RetryBudget {
    bounds: RetryBounds,
    parts: VecDeque<Part>,
    needed: u32,
    extra: u32,
}

impl RetryBudget {
    pub(crate) fn new(bounds: RetryBounds) -> Self {
        Self {
            bounds,
            parts: VecDeque::new(),
            needed: 0,
            extra: 0,
        }
    }

    /// Counts a request that needs the service. `now` is the time since the gateway started.
    pub(crate) fn record_request(&mut self, now: Duration) {
        self.part(now).needed += 1;
        self.needed += 1;
    }

    /// How much of it is used. `gateways` is the number of gateways that share the slack; a gateway that has no
    /// part of it has `None`.
    pub(crate) fn level(&mut self, now: Duration, gateways: Option<u32>) -> BudgetLevel {
        self.forget(now);
        let has_paused = now >= Duration::from_millis(self.bounds.slack_pause_ms);
        let gateways = gateways.filter(|_| has_paused);
        let part = |gateways: u32| self.bounds.slack / f64::from(gateways.max(1));
        let slack = gateways.map_or(0.0, part);
        BudgetLevel {
            allowed: USED_SHARE * (self.bounds.ratio * f64::from(self.needed) + slack),
            used: f64::from(self.extra),
        }
    }

    /// Takes one extra attempt that leaves the share `reserve` of the budget; `false` means that the budget does
    /// not bear it.
    pub(crate) fn try_take(&mut self, now: Duration, gateways: Option<u32>, reserve: f64) -> bool {
        if !self.level(now, gateways).allows(reserve) {
            return false;
        }
        self.part(now).extra += 1;
        self.extra += 1;
        true
    }

    fn part(&mut self, now: Duration) -> &mut Part {
        self.forget(now);
        let number = self.number(now);
        if self.parts.back().is_none_or(|part| part.number != number) {
            self.parts.push_back(Part {
                number,
                ..Part::default()
            });
        }
        let last = self.parts.len() - 1;
        &mut self.parts[last]
    }

    fn forget(&mut self, now: Duration) {
        let number = self.number(now);
        while let Some(oldest) = self.parts.front()
            && oldest.number + u64::from(PARTS) < number
        {
            self.needed -= oldest.needed;
            self.extra -= oldest.extra;
            self.parts.pop_front();
        }
    }

    fn number(&self, now: Duration) -> u64 {
        let part_ms = (self.bounds.window_ms / u64::from(PARTS)).max(1);
        now.as_millis() as u64 / part_ms
    }
}

#[cfg(test)]
mod tests;
