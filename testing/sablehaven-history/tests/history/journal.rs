//! Journals and marks are read back as they were written.

use std::fs;

use crate::story::Story;
use sablehaven_history::{History, JournalError, Mark, Recorder};
use sablehaven_types::{ShardId, SnapshotId};

#[test]
fn a_journal_is_read_back_as_it_was_written() {
    let folder = tempfile::tempdir().expect("folder");
    let path = folder.path().join("history.jsonl");
    let recorder = Recorder::new();
    recorder.extend(Story::kept().history().events);
    recorder.history().write(&path).expect("written");
    assert_eq!(History::read(&path).expect("read"), Story::kept().history());
}

#[test]
fn a_damaged_line_is_named() {
    let folder = tempfile::tempdir().expect("folder");
    let path = folder.path().join("history.jsonl");
    Story::kept().history().write(&path).expect("written");
    let text = fs::read_to_string(&path).expect("text");
    fs::write(
        &path,
        text.replacen("\"event\":\"execution\"", "\"event\":", 1),
    )
    .expect("damaged");
    let error = History::read(&path).expect_err("damage");
    assert!(
        matches!(error, JournalError::Decode { line: 2, .. }),
        "{error}"
    );
}

#[test]
fn a_mark_is_read_back_from_the_end_of_a_text() {
    for run in [None, Some(12)] {
        let mark = Mark {
            shard: ShardId(54),
            snapshot: SnapshotId {
                generation: 7,
                partition_map: 3,
            },
            question: 0x00ab_cdef_0123_4567,
            item: 2,
            run,
        };
        let text = format!("a ~ in the text{mark}");
        assert_eq!(Mark::find(&text), Some(Ok(mark)));
    }
    assert_eq!(Mark::find("no mark"), None);
    assert!(Mark::find("~s1g1").expect("a mark").is_err());
}
