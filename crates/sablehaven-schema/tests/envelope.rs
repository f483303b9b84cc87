//! The protobuf envelope round-trips, and the code agrees with the published `.proto` file.

use prost_reflect::{DescriptorPool, DynamicMessage};
use protox::{
    Compiler,
    file::{ChainFileResolver, File, FileResolver, GoogleFileResolver},
};
use sablehaven_schema::envelope::{ENVELOPE_TEXT, EnvelopeError, ProtobufEnvelope};
use sablehaven_types::{
    ConfigurationAge, Coverage, Envelope, MissingReason, MissingShard, Outcome, ShardId, SnapshotId,
};

const ENVELOPE_FILE: &str = "sablehaven/envelope.proto";

const REASONS: [MissingReason; 6] = [
    MissingReason::Deadline,
    MissingReason::NoReplica,
    MissingReason::Shed,
    MissingReason::Failed,
    MissingReason::SnapshotGone,
    MissingReason::BadReply,
];

/// Resolves the published envelope file.
struct PublishedFile;

impl FileResolver for PublishedFile {
    fn open_file(&self, name: &str) -> Result<File, protox::Error> {
        if name == ENVELOPE_FILE {
            return File::from_source(ENVELOPE_FILE, ENVELOPE_TEXT);
        }
        Err(protox::Error::file_not_found(name))
    }
}

/// The descriptors of the published envelope file.
fn published_descriptors() -> DescriptorPool {
    let mut resolver = ChainFileResolver::new();
    resolver.add(PublishedFile);
    resolver.add(GoogleFileResolver::new());
    let mut compiler = Compiler::with_file_resolver(resolver);
    compiler
        .open_file(ENVELOPE_FILE)
        .expect("the published file compiles");
    compiler.descriptor_pool()
}

/// An envelope in which every field is set.
fn full_envelope(outcome: Outcome) -> Envelope<Vec<u8>> {
    let missing = REASONS
        .into_iter()
        .zip(10..)
        .map(|(reason, shard)| MissingShard {
            shard: ShardId(shard),
            reason,
        });
    Envelope {
        outcome,
        reason: Some("because".to_owned()),
        snapshot: Some(SnapshotId {
            generation: 7,
            partition_map: 3,
        }),
        coverage: Some(Coverage {
            answered: vec![ShardId(0), ShardId(4)],
            missing: missing.collect(),
        }),
        configuration: ConfigurationAge {
            version: 9,
            current: true,
            age_ms: 12,
        },
        retry_after_ms: Some(250),
        body: Some(vec![1, 2, 3]),
    }
}

#[test]
fn every_outcome_and_reason_round_trips() {
    for outcome in [Outcome::Done, Outcome::NotRun, Outcome::Unknown] {
        let envelope = full_envelope(outcome);
        let bytes = ProtobufEnvelope::from(envelope.clone()).to_bytes();
        assert_eq!(ProtobufEnvelope::read(&bytes), Ok(envelope));
    }
}

#[test]
fn an_empty_body_differs_from_a_missing_body() {
    let mut envelope = full_envelope(Outcome::Done);
    envelope.body = Some(Vec::new());
    let bytes = ProtobufEnvelope::from(envelope.clone()).to_bytes();
    assert_eq!(ProtobufEnvelope::read(&bytes), Ok(envelope.clone()));
    envelope.body = None;
    let bytes = ProtobufEnvelope::from(envelope.clone()).to_bytes();
    assert_eq!(ProtobufEnvelope::read(&bytes), Ok(envelope));
}

#[test]
fn the_published_file_defines_every_field() {
    let pool = published_descriptors();
    let descriptor = pool
        .get_message_by_name("sablehaven.Envelope")
        .expect("the file defines the message Envelope");
    let bytes = ProtobufEnvelope::from(full_envelope(Outcome::NotRun)).to_bytes();
    let message =
        DynamicMessage::decode(descriptor, bytes.as_slice()).expect("the envelope decodes");
    let expected = serde_json::json!({
        "outcome": "OUTCOME_NOT_RUN",
        "reason": "because",
        "snapshot": { "generation": "7", "partitionMap": "3" },
        "coverage": {
            "answered": [0, 4],
            "missing": [
                { "shard": 10, "reason": "MISSING_REASON_DEADLINE" },
                { "shard": 11, "reason": "MISSING_REASON_NO_REPLICA" },
                { "shard": 12, "reason": "MISSING_REASON_SHED" },
                { "shard": 13, "reason": "MISSING_REASON_FAILED" },
                { "shard": 14, "reason": "MISSING_REASON_SNAPSHOT_GONE" },
                { "shard": 15, "reason": "MISSING_REASON_BAD_REPLY" },
            ],
        },
        "configuration": { "version": "9", "current": true, "ageMs": "12" },
        "retryAfterMs": "250",
        "body": "AQID",
    });
    assert_eq!(
        serde_json::to_value(&message).expect("the message has a JSON form"),
        expected
    );
}

#[test]
fn an_envelope_without_an_outcome_is_rejected() {
    let result = ProtobufEnvelope::read(&[0x2a, 0x00]);
    assert_eq!(
        result,
        Err(EnvelopeError::UnknownValue {
            field: "outcome",
            value: 0
        })
    );
}
