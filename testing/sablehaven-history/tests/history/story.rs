//! A small history that keeps every promise, and ways to change it.

use sablehaven_history::{
    BackendNotice, BackendNoticeKind, CallAnswer, CallKind, CallRecord, CallResult, Event,
    ExecutionEnd, ExecutionRecord, FaultRecord, History, HistoryReading, Mark, OperatorCall,
    OperatorResult, ProcessStop, PublishedSnapshot,
};
use sablehaven_types::{
    AttemptId, CommandId, CommandRecord, ConfigurationAge, Coverage, LedgerKey, Outcome, ShardId,
    SnapshotId,
};

pub const SECOND: u64 = 1_000_000;
const SERVICE: &str = "test.Stock";
const QUESTION: u64 = 5;
const ONCE_QUESTION: u64 = 6;

pub fn snapshot(generation: u64) -> SnapshotId {
    SnapshotId {
        generation,
        partition_map: 1,
    }
}

pub fn command(text: &str) -> CommandId {
    CommandId::from(text)
}

pub fn once_key(request: u64) -> LedgerKey {
    LedgerKey {
        caller: "pantry".into(),
        request: format!("request-{request}").into(),
        issued_at_ms: 1,
    }
}

/// A history that is still being told.
pub struct Story {
    events: Vec<Event>,
}

impl Story {
    /// A query over two shards, a request that may not be repeated, two commands, a back end that
    /// leaves and a planned stop; every promise is kept.
    pub fn kept() -> Self {
        let mut story = Self { events: Vec::new() };
        story.push(Event::Snapshot(PublishedSnapshot {
            service: SERVICE.into(),
            snapshot: snapshot(1),
            shards: vec![ShardId(0), ShardId(1)],
        }));
        for shard in 0..2 {
            story.push(Event::Execution(query_execution(shard, 10 * SECOND)));
        }
        let query = story.query_call(0, 10 * SECOND);
        story.push(Event::Call(query));
        let execution = story.once_execution(1, 11 * SECOND);
        story.push(Event::Execution(execution));
        let once = story.once_call(1, 1, 11 * SECOND, Outcome::Done);
        story.push(Event::Call(once));
        let refused = story.once_call(2, 9, 12 * SECOND, Outcome::NotRun);
        story.push(Event::Call(refused));
        for (id, expected, seconds) in [("first", 0, (1, 2)), ("second", 1, (30, 32))] {
            let version = expected + 1;
            story.operator(
                Some(id),
                expected,
                seconds,
                OperatorResult::Accepted { version },
            );
        }
        story.operator(None, 0, (33, 34), OperatorResult::Read { version: 2 });
        story.push(Event::HistoryReading(HistoryReading {
            at: 100 * SECOND,
            commands: ["first", "second"].iter().zip(1..).map(record).collect(),
        }));
        story.notice(50 * SECOND, BackendNoticeKind::Leaving);
        story.push(Event::Stop(ProcessStop {
            process: "agent-1".to_owned(),
            asked_at: 60 * SECOND,
            exited_at: 61 * SECOND,
            exit_code: Some(0),
        }));
        story
    }

    pub fn history(&self) -> History {
        History {
            events: self.events.clone(),
        }
    }

    pub fn push(&mut self, event: Event) {
        self.events.push(event);
    }

    /// The answer of the call with this number.
    pub fn answer(&mut self, number: u64) -> &mut CallAnswer {
        let answer = self.events.iter_mut().find_map(|event| match event {
            Event::Call(CallRecord {
                call,
                result: CallResult::Answered(answer),
                ..
            }) if *call == number => Some(answer),
            _ => None,
        });
        answer.expect("an answered call")
    }

    /// The execution at this place.
    pub fn execution(&mut self, place: usize) -> &mut ExecutionRecord {
        let mut executions = self.events.iter_mut().filter_map(|event| match event {
            Event::Execution(execution) => Some(execution),
            _ => None,
        });
        executions.nth(place).expect("an execution")
    }

    pub fn stop(&mut self) -> &mut ProcessStop {
        let stop = self.events.iter_mut().find_map(|event| match event {
            Event::Stop(stop) => Some(stop),
            _ => None,
        });
        stop.expect("a stop")
    }

    pub fn reading(&mut self) -> &mut HistoryReading {
        let reading = self.events.iter_mut().find_map(|event| match event {
            Event::HistoryReading(reading) => Some(reading),
            _ => None,
        });
        reading.expect("a reading")
    }

    pub fn notice(&mut self, at: u64, kind: BackendNoticeKind) {
        self.push(Event::Backend(BackendNotice {
            backend: "depot-0".into(),
            at,
            kind,
        }));
    }

    pub fn fault(&mut self, process: &str, from: u64, until: u64) {
        self.push(Event::Fault(FaultRecord {
            what: "cut".to_owned(),
            processes: vec![process.to_owned()],
            from,
            until: Some(until),
        }));
    }

    pub fn operator(
        &mut self,
        id: Option<&str>,
        expected_version: u64,
        (sent, finished): (u64, u64),
        result: OperatorResult,
    ) {
        self.push(Event::Operator(OperatorCall {
            command: id.map(command),
            expected_version,
            sent_at: sent * SECOND,
            finished_at: finished * SECOND,
            result,
        }));
    }

    /// A query through `agent-1`, answered under this version.
    pub fn query_under(&mut self, number: u64, at: u64, version: u64, current: bool) {
        self.query_by(number, "agent-1", at, version, current);
    }

    /// A query through an agent, answered under this version.
    pub fn query_by(&mut self, number: u64, process: &str, at: u64, version: u64, current: bool) {
        let mut call = self.query_call(number, at);
        call.process = process.to_owned();
        if let CallResult::Answered(answer) = &mut call.result {
            answer.configuration = age(version, current);
        }
        self.push(Event::Call(call));
    }

    /// A query that asks what the first one asked, whole and under the newest version.
    pub fn query_call(&self, number: u64, at: u64) -> CallRecord {
        let version = if at < 30 * SECOND { 1 } else { 2 };
        let marks = [0, 1].map(|shard| mark(shard, QUESTION, None));
        CallRecord {
            call: number,
            caller: "driver".into(),
            process: "agent-1".to_owned(),
            service: SERVICE.into(),
            method: "Search".to_owned(),
            kind: CallKind::QueryConcatenated,
            once_key: None,
            question: QUESTION,
            intended_at: at,
            sent_at: at,
            finished_at: at + SECOND / 2,
            result: CallResult::Answered(CallAnswer {
                snapshot: Some(snapshot(1)),
                coverage: Some(Coverage {
                    answered: vec![ShardId(0), ShardId(1)],
                    missing: Vec::new(),
                }),
                marks: marks.to_vec(),
                ..empty_answer(Outcome::Done, version)
            }),
        }
    }

    /// A call of a request that may not be repeated.
    pub fn once_call(&self, number: u64, request: u64, at: u64, outcome: Outcome) -> CallRecord {
        let mut answer = empty_answer(outcome, 1);
        if outcome == Outcome::Done {
            answer.marks = vec![mark(0, ONCE_QUESTION, Some(1))];
        }
        CallRecord {
            kind: CallKind::Once,
            method: "Reserve".to_owned(),
            once_key: Some(once_key(request)),
            question: ONCE_QUESTION,
            result: CallResult::Answered(answer),
            ..self.query_call(number, at)
        }
    }

    /// A run of a request that may not be repeated.
    pub fn once_execution(&self, request: u64, at: u64) -> ExecutionRecord {
        ExecutionRecord {
            method: "Reserve".to_owned(),
            once_key: Some(once_key(request)),
            question: ONCE_QUESTION,
            ..query_execution(0, at)
        }
    }
}

fn query_execution(shard: u32, at: u64) -> ExecutionRecord {
    ExecutionRecord {
        sequence: 1,
        backend: format!("depot-{shard}").into(),
        incarnation: 1,
        service: SERVICE.into(),
        method: "Search".to_owned(),
        shard: ShardId(shard),
        snapshot: snapshot(1),
        attempt: AttemptId(u64::from(shard)),
        once_key: None,
        question: QUESTION,
        received_at: at + 1,
        started_at: Some(at + 2),
        finished_at: at + 3,
        end: ExecutionEnd::Replied,
    }
}

fn empty_answer(outcome: Outcome, version: u64) -> CallAnswer {
    CallAnswer {
        status: 200,
        outcome,
        reason: None,
        snapshot: None,
        coverage: None,
        configuration: age(version, true),
        retry_after_ms: None,
        marks: Vec::new(),
        is_expected: None,
    }
}

fn age(version: u64, current: bool) -> ConfigurationAge {
    ConfigurationAge {
        version,
        current,
        age_ms: 0,
    }
}

fn mark(shard: u32, question: u64, run: Option<u64>) -> Mark {
    Mark {
        shard: ShardId(shard),
        snapshot: snapshot(1),
        question,
        item: 0,
        run,
    }
}

fn record((id, version): (&&str, u64)) -> CommandRecord {
    CommandRecord {
        version,
        command_id: command(id),
        operator: "operator".into(),
        reason: String::new(),
        proposed_at_ms: version,
    }
}
