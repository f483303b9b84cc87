//! The envelope's protobuf encoding agrees with `sablehaven/envelope.proto`.

use prost_reflect::{DescriptorPool, DynamicMessage};
use protox::{
    Compiler,
    file::{File, FileResolver},
};
use sablehaven_types::{
    ConfigurationAge, Coverage, Envelope, MissingReason, MissingShard, Outcome, ShardId,
    SnapshotId,
    protobuf::{decode_envelope, encode_envelope},
};
use serde_json::json;

struct EnvelopeFile;

impl FileResolver for EnvelopeFile {
    fn open_file(&self, name: &str) -> Result<File, protox::Error> {
        File::from_source(name, include_str!("../proto/sablehaven/envelope.proto"))
    }
}

fn pool() -> DescriptorPool {
    let mut compiler = Compiler::with_file_resolver(EnvelopeFile);
    compiler
        .open_file("sablehaven/envelope.proto")
        .expect("the file compiles");
    compiler.descriptor_pool()
}

fn as_json(envelope: &Envelope<bytes::Bytes>) -> serde_json::Value {
    let descriptor = pool()
        .get_message_by_name("sablehaven.Envelope")
        .expect("the message exists");
    let bytes = encode_envelope(envelope);
    let message = DynamicMessage::decode(descriptor, bytes.as_slice()).expect("it fits");
    assert_eq!(message.unknown_fields().count(), 0);
    serde_json::to_value(&message).expect("it has a JSON form")
}

fn missing(shard: u32, reason: MissingReason) -> MissingShard {
    MissingShard {
        shard: ShardId(shard),
        reason,
    }
}

fn full_envelope() -> Envelope<bytes::Bytes> {
    Envelope {
        outcome: Outcome::Done,
        reason: Some("why".to_owned()),
        snapshot: Some(SnapshotId {
            generation: 7,
            partition_map: 2,
        }),
        coverage: Some(Coverage {
            answered: vec![ShardId(0), ShardId(2)],
            missing: vec![
                missing(1, MissingReason::Deadline),
                missing(3, MissingReason::NoReplica),
                missing(4, MissingReason::Shed),
                missing(5, MissingReason::Failed),
                missing(6, MissingReason::SnapshotGone),
                missing(7, MissingReason::BadReply),
            ],
        }),
        configuration: ConfigurationAge {
            version: 9,
            current: true,
            age_ms: 12,
        },
        retry_after_ms: Some(250),
        body: Some(bytes::Bytes::from_static(b"reply")),
    }
}

#[test]
fn the_encoding_fits_the_proto_file() {
    let expected = json!({
        "outcome": "OUTCOME_DONE",
        "reason": "why",
        "snapshot": { "generation": "7", "partitionMap": "2" },
        "coverage": {
            "answered": [0, 2],
            "missing": [
                { "shard": 1, "reason": "MISSING_REASON_DEADLINE" },
                { "shard": 3, "reason": "MISSING_REASON_NO_REPLICA" },
                { "shard": 4, "reason": "MISSING_REASON_SHED" },
                { "shard": 5, "reason": "MISSING_REASON_FAILED" },
                { "shard": 6, "reason": "MISSING_REASON_SNAPSHOT_GONE" },
                { "shard": 7, "reason": "MISSING_REASON_BAD_REPLY" },
            ],
        },
        "configuration": { "version": "9", "current": true, "ageMs": "12" },
        "retryAfterMs": "250",
        "body": "cmVwbHk=",
    });
    assert_eq!(as_json(&full_envelope()), expected);
}

#[test]
fn an_envelope_reads_back_as_it_was_written() {
    let bare = Envelope {
        outcome: Outcome::Unknown,
        reason: None,
        snapshot: None,
        coverage: None,
        configuration: ConfigurationAge::default(),
        retry_after_ms: None,
        body: None,
    };
    let refused = Envelope {
        outcome: Outcome::NotRun,
        ..bare.clone()
    };
    let empty = Envelope {
        outcome: Outcome::Done,
        coverage: Some(Coverage::default()),
        body: Some(bytes::Bytes::new()),
        ..bare.clone()
    };
    for envelope in [full_envelope(), bare, refused, empty] {
        let read = decode_envelope(encode_envelope(&envelope).into());
        assert_eq!(read, Ok(envelope));
    }
}

#[test]
fn an_outcome_that_is_not_known_promises_nothing() {
    let read = decode_envelope(bytes::Bytes::from_static(b"\x08\x63")).expect("it decodes");
    assert_eq!(read.outcome, Outcome::Unknown);
    assert!(decode_envelope(bytes::Bytes::from_static(b"\xff")).is_err());
}
