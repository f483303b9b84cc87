//! A request inside a back end. Whatever way it leaves, it leaves exactly one record.

use std::sync::{Arc, atomic::Ordering};

use sablehaven_history::{ExecutionEnd, ExecutionRecord};

use super::{record::ExecutionLog, state::State};
use crate::clock;

/// Counts a request as waiting or running, and records it when it ends.
///
/// Dropped before [`InFlight::end`], it records a cancellation: the server drops the handler when
/// the stream is reset or the connection is gone.
pub(crate) struct InFlight {
    state: Arc<State>,
    log: ExecutionLog,
    record: ExecutionRecord,
    phase: Phase,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Phase {
    Arrived,
    Waiting,
    Running,
    Ended,
}

impl InFlight {
    pub(crate) fn new(state: Arc<State>, log: ExecutionLog, record: ExecutionRecord) -> Self {
        let phase = Phase::Arrived;
        Self {
            state,
            log,
            record,
            phase,
        }
    }

    pub(crate) fn wait(&mut self) {
        self.leave_phase();
        self.phase = Phase::Waiting;
        self.state.waiting.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn run(&mut self) {
        self.leave_phase();
        self.phase = Phase::Running;
        self.state.running.fetch_add(1, Ordering::Relaxed);
        self.record.started_at = Some(clock::now());
    }

    pub(crate) fn end(mut self, end: ExecutionEnd) {
        self.finish(end);
    }

    pub(crate) fn record(&self) -> &ExecutionRecord {
        &self.record
    }

    fn finish(&mut self, end: ExecutionEnd) {
        self.leave_phase();
        self.phase = Phase::Ended;
        self.record.finished_at = clock::now();
        self.record.end = end;
        self.log.push(self.record.clone());
    }

    fn leave_phase(&mut self) {
        match self.phase {
            Phase::Waiting => self.state.waiting.fetch_sub(1, Ordering::Relaxed),
            Phase::Running => self.state.running.fetch_sub(1, Ordering::Relaxed),
            Phase::Arrived | Phase::Ended => 0,
        };
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        if self.phase == Phase::Ended {
            return;
        }
        let is_lost = self.state.lost.load(Ordering::Relaxed);
        self.finish(match is_lost {
            true => ExecutionEnd::Lost,
            false => ExecutionEnd::Cancelled,
        });
    }
}
