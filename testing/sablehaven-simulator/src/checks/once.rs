//! Requests that may not be repeated run at most once, and callers are told the truth.

use std::collections::BTreeMap;

use sablehaven_types::{LedgerKey, Outcome};

use super::{Property, Verdict};
use crate::packet::CallSend;

#[derive(Debug, Default)]
struct RequestHistory {
    /// The sending that ran.
    ran: Option<u64>,
    /// The latest sending that was called not run.
    not_run: u64,
}

#[derive(Debug, Default)]
pub(super) struct OnceChecks {
    requests: BTreeMap<LedgerKey, RequestHistory>,
}

impl OnceChecks {
    pub(super) fn executed(&mut self, call: &CallSend) -> Verdict {
        let CallSend { key, send } = call;
        let history = self.requests.entry(key.clone()).or_default();
        if let Some(first) = history.ran {
            let detail = format!("{key:?} ran for sending {first} and again for {send}");
            return Err((Property::AtMostOnce, detail));
        }
        history.ran = Some(*send);
        history.check_not_run(key)
    }

    pub(super) fn told(&mut self, call: &CallSend, outcome: Outcome) -> Verdict {
        let CallSend { key, send } = call;
        let history = self.requests.entry(key.clone()).or_default();
        match outcome {
            Outcome::Done if history.ran.is_none() => {
                let detail = format!("{key:?} was called done, but did not run");
                Err((Property::DoneIsTrue, detail))
            }
            Outcome::NotRun => {
                history.not_run = history.not_run.max(*send);
                history.check_not_run(key)
            }
            Outcome::Done | Outcome::Unknown => Ok(()),
        }
    }
}

impl RequestHistory {
    /// "Not run" speaks of all sendings up to the one that it answers; a later one may run.
    fn check_not_run(&self, key: &LedgerKey) -> Verdict {
        match self.ran {
            Some(send) if send <= self.not_run => {
                let not_run = self.not_run;
                let detail = format!(
                    "{key:?} ran for sending {send}, but sending {not_run} was called not run"
                );
                Err((Property::NotRunIsTrue, detail))
            }
            _ => Ok(()),
        }
    }
}
