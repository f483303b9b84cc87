//! A history's events by kind.

use std::collections::HashMap;

use sablehaven_types::{LedgerKey, ServiceName, ShardId, SnapshotId};

use crate::{
    BackendNotice, CallAnswer, CallRecord, CallResult, Event, ExecutionRecord, FaultRecord,
    History, HistoryReading, OperatorCall, ProcessStop, PublishedSnapshot,
};

/// Events by kind, in the order of the history.
#[derive(Default)]
pub(super) struct Index<'a> {
    pub calls: Vec<&'a CallRecord>,
    pub executions: Vec<&'a ExecutionRecord>,
    pub snapshots: HashMap<(&'a ServiceName, SnapshotId), &'a PublishedSnapshot>,
    pub notices: Vec<&'a BackendNotice>,
    pub stops: Vec<&'a ProcessStop>,
    pub operator: Vec<&'a OperatorCall>,
    pub readings: Vec<&'a HistoryReading>,
    pub faults: Vec<&'a FaultRecord>,
    /// Executions that began, by what they were asked.
    pub ran_by_question: HashMap<u64, Vec<&'a ExecutionRecord>>,
    /// Executions that began, by ledger key.
    pub ran_by_key: HashMap<&'a LedgerKey, Vec<&'a ExecutionRecord>>,
}

impl<'a> Index<'a> {
    pub(super) fn new(history: &'a History) -> Self {
        let mut index = Self::default();
        for event in &history.events {
            index.add(event);
        }
        index
    }

    fn add(&mut self, event: &'a Event) {
        match event {
            Event::Call(call) => self.calls.push(call),
            Event::Execution(execution) => self.add_execution(execution),
            Event::Snapshot(published) => {
                let key = (&published.service, published.snapshot);
                self.snapshots.insert(key, published);
            }
            Event::Backend(notice) => self.notices.push(notice),
            Event::Stop(stop) => self.stops.push(stop),
            Event::Operator(call) => self.operator.push(call),
            Event::HistoryReading(reading) => self.readings.push(reading),
            Event::Fault(fault) => self.faults.push(fault),
        }
    }

    fn add_execution(&mut self, execution: &'a ExecutionRecord) {
        self.executions.push(execution);
        if !execution.ran() {
            return;
        }
        let question = execution.question;
        self.ran_by_question
            .entry(question)
            .or_default()
            .push(execution);
        if let Some(key) = &execution.once_key {
            self.ran_by_key.entry(key).or_default().push(execution);
        }
    }

    /// Calls that came back with an envelope.
    pub(super) fn answers(&self) -> impl Iterator<Item = (&'a CallRecord, &'a CallAnswer)> {
        self.calls.iter().filter_map(|call| match &call.result {
            CallResult::Answered(answer) => Some((*call, answer)),
            _ => None,
        })
    }

    /// The published partition map of a snapshot.
    pub(super) fn shards(&self, service: &ServiceName, snapshot: SnapshotId) -> Option<&[ShardId]> {
        let published = self.snapshots.get(&(service, snapshot))?;
        Some(&published.shards)
    }
}

/// Names a call in a violation.
pub(super) fn name(call: &CallRecord) -> String {
    format!(
        "call {} of {} to {}/{} through {}",
        call.call, call.caller, call.service, call.method, call.process
    )
}
