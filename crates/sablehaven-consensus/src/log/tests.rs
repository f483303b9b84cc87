//! Compares the log with a model that keeps every entry, under random operations.

use proptest::{prelude::*, test_runner::RngSeed};

use super::*;

#[derive(Clone, Debug)]
enum Operation {
    Append(u64),
    Truncate(u64),
    TakeUnsaved,
    Sync,
    Commit(u64),
    TakeCommitted,
    Compact(u64),
}

fn operation() -> impl Strategy<Value = Operation> {
    prop_oneof![
        (0..3_u64).prop_map(Operation::Append),
        (1..8_u64).prop_map(Operation::Truncate),
        Just(Operation::TakeUnsaved),
        Just(Operation::Sync),
        (0..6_u64).prop_map(Operation::Commit),
        Just(Operation::TakeCommitted),
        (0..4_u64).prop_map(Operation::Compact),
    ]
}

/// The expected contents of the log, and of a disk that receives its writes.
#[derive(Default)]
struct Model {
    entries: Vec<Entry>,
    written: Vec<Entry>,
    writes: Vec<(u64, Vec<Entry>)>,
    synced: Vec<Entry>,
    delivered: Vec<Entry>,
}

fn entry(index: u64, term: u64) -> Entry {
    let payload = EntryPayload::Command(vec![term as u8; 3]);
    Entry {
        index,
        term,
        payload,
    }
}

fn apply(log: &mut Log, model: &mut Model, term: &mut u64, number: &mut u64, step: &Operation) {
    match step {
        Operation::Append(raise) => {
            *term += raise;
            let next = entry(log.last().index + 1, *term);
            model.entries.push(next.clone());
            log.append(next);
        }
        Operation::Truncate(back) => {
            let from = (log.last().index + 1).saturating_sub(*back);
            let from = from.max(log.commit() + 1);
            if from <= log.last().index {
                log.truncate(from);
                model.entries.truncate(from as usize - 1);
                *term += 1;
            }
        }
        Operation::TakeUnsaved => {
            *number += 1;
            let unsaved = log.take_unsaved();
            if let Some(first) = unsaved.first() {
                model.written.truncate(first.index as usize - 1);
                model.written.extend(unsaved);
                log.record_write(*number);
                model.writes.push((*number, model.written.clone()));
            }
        }
        Operation::Sync => {
            if !model.writes.is_empty() {
                let (done, written) = model.writes.remove(0);
                model.synced = written;
                log.persisted(done);
            }
        }
        Operation::Commit(ahead) => {
            log.commit_to(log.commit() + ahead);
        }
        Operation::TakeCommitted => model.delivered.extend(log.take_committed(40)),
        Operation::Compact(back) => {
            let index = log.delivered_index().saturating_sub(*back);
            log.compact(index);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        rng_seed: RngSeed::Fixed(0x5ab1e),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn the_log_agrees_with_a_model(steps in prop::collection::vec(operation(), 1..120)) {
        let mut log = Log::restored(Position::default(), Vec::new());
        let mut model = Model::default();
        let (mut term, mut number) = (1, 0);
        for step in &steps {
            apply(&mut log, &mut model, &mut term, &mut number, step);
            let last = model.entries.last().map_or(0, |entry| entry.index);
            prop_assert_eq!(log.last().index, last);
            let held = log.slice(log.first_index(), last, u64::MAX);
            prop_assert_eq!(&held[..], &model.entries[log.base().index as usize..]);
            // No entry counts as synced that a crash at this point would lose or replace.
            let stable = log.stable() as usize;
            prop_assert_eq!(&model.synced[..stable], &model.entries[..stable]);
            // The delivered entries are a synced and committed prefix that never changes.
            let delivered_count = model.delivered.len();
            prop_assert_eq!(log.delivered_index() as usize, delivered_count);
            prop_assert_eq!(&model.delivered[..], &model.entries[..delivered_count]);
            prop_assert!(log.delivered_index() <= log.commit().min(log.stable()));
        }
    }

    #[test]
    fn the_last_possible_match_is_never_before_the_last_shared_entry(
        terms in prop::collection::vec(0..3_u64, 0..30),
        other_terms in prop::collection::vec(0..3_u64, 0..30),
        shared_count in 0..30_usize,
    ) {
        let shared_count = shared_count.min(terms.len());
        let rising_terms = |steps: &[u64], mut term: u64, from: u64| -> Vec<Entry> {
            let next_entry = |(offset, step): (usize, &u64)| {
                term += step;
                entry(from + offset as u64, term)
            };
            steps.iter().enumerate().map(next_entry).collect()
        };
        let own = rising_terms(&terms, 1, 1);
        let mut theirs: Vec<Entry> = own[..shared_count].to_vec();
        let shared_term = theirs.last().map_or(0, |entry| entry.term);
        // The offset keeps the later terms of the two logs distinct, as those of two leaders are.
        theirs.extend(rising_terms(&other_terms, shared_term + 100, shared_count as u64 + 1));
        let log = Log::restored(Position::default(), own);
        let last = theirs.last().map_or(Position::default(), |entry| Position {
            index: entry.index,
            term: entry.term,
        });
        let candidate = log.last_possible_match(last).expect("nothing is compacted");
        prop_assert!(candidate.index >= (shared_count as u64).min(last.index));
    }
}
