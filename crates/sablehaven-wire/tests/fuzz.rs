//! Decodes random bytes and corrupted messages. The result must be an error or a message, never a
//! panic, and decoding must not use more memory than the size of the input warrants.

use proptest::{prelude::*, test_runner::RngSeed};
use sablehaven_types::{
    BackendId, ClaimId, LedgerKey, LedgerRequest, Observation, ObservationKind,
};
use sablehaven_wire::{
    AgentToRelay, ControlToRelay, EncodedMessage, Hello, LeaseGrant, PeerMessage, RelayToAgent,
    RelayToControl, StateUpdate,
};
use serde::{Serialize, de::DeserializeOwned};

fn proptest_config() -> ProptestConfig {
    ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(0x5ab1e),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn decode_as<Message: DeserializeOwned + Serialize>(bytes: &[u8]) {
    if let Ok(message) = rmp_serde::from_slice::<Message>(bytes) {
        let encoded = EncodedMessage::new(&message).expect("a decoded message encodes");
        // Each value takes at least one byte of input and at most nine bytes when it is encoded again.
        assert!(encoded.size() <= 16 + 9 * bytes.len());
    }
}

fn decode_as_every_type(bytes: &[u8]) {
    decode_as::<Hello>(bytes);
    decode_as::<AgentToRelay>(bytes);
    decode_as::<RelayToAgent>(bytes);
    decode_as::<RelayToControl>(bytes);
    decode_as::<ControlToRelay>(bytes);
    decode_as::<PeerMessage>(bytes);
}

fn sample_messages() -> Vec<Vec<u8>> {
    let key = LedgerKey {
        caller: "pantry-7".into(),
        request: "request-1".into(),
        issued_at_ms: 1_700_000_000_000,
    };
    let claim = LedgerRequest::Claim {
        key,
        claim: ClaimId(9),
        fingerprint: 77,
    };
    let observation = Observation {
        backend: BackendId::from("depot-3"),
        service: "stock.Search".into(),
        incarnation: 4,
        kind: ObservationKind::Draining,
    };
    let update = StateUpdate {
        full: true,
        revision: 12,
        configuration_version: 3,
        services: [("stock.Search".into(), None)].into(),
        backends: [(BackendId::from("depot-3"), None)].into(),
        agents_per_service: [("stock.Search".into(), 16)].into(),
        ..StateUpdate::default()
    };
    let grant = LeaseGrant {
        nonce: 1,
        age_ms: 2,
        duration_ms: 3_000,
        revision: 4,
        configuration_version: 5,
    };
    vec![
        encode(&AgentToRelay::Ledger {
            call: 3,
            request: claim.clone(),
        }),
        encode(&AgentToRelay::Observe(vec![observation.clone()])),
        encode(&RelayToAgent::Update(update.clone())),
        encode(&RelayToAgent::Hint(vec![observation])),
        encode(&RelayToControl::Ledger(vec![(8, claim)])),
        encode(&ControlToRelay::Update(update)),
        encode(&ControlToRelay::Lease(grant)),
        encode(&PeerMessage {
            group: 1,
            payload: vec![1, 2, 3].into(),
        }),
    ]
}

fn encode<Message: Serialize>(message: &Message) -> Vec<u8> {
    EncodedMessage::new(message)
        .expect("encode")
        .bytes()
        .to_vec()
}

#[test]
fn lengths_beyond_the_end_of_the_input_are_errors() {
    // The headers of an array, a map and a byte string with 4,294,967,295 elements, none of which follow.
    for head in [0xdd_u8, 0xdf, 0xc6] {
        let header_only = [head, 0xff, 0xff, 0xff, 0xff];
        assert!(rmp_serde::from_slice::<PeerMessage>(&header_only).is_err());
        let observe = [&[0x81, 0xa7][..], b"Observe", &header_only].concat();
        assert!(rmp_serde::from_slice::<AgentToRelay>(&observe).is_err());
    }
}

#[test]
fn deep_nesting_is_an_error_and_no_stack_overflow() {
    let nested = vec![0x91_u8; 100_000];
    assert!(rmp_serde::from_slice::<AgentToRelay>(&nested).is_err());
    assert!(rmp_serde::from_slice::<StateUpdate>(&nested).is_err());
}

proptest! {
    #![proptest_config(proptest_config())]

    #[test]
    fn decoding_random_bytes_does_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..512)) {
        decode_as_every_type(&bytes);
    }

    #[test]
    fn decoding_corrupted_messages_does_not_panic(
        sample in 0usize..8,
        replaced_bytes in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..8),
        length_index in any::<prop::sample::Index>(),
    ) {
        let mut bytes = sample_messages()[sample].clone();
        for (position, value) in replaced_bytes {
            let offset = position.index(bytes.len());
            bytes[offset] = value;
        }
        bytes.truncate(length_index.index(bytes.len()) + 1);
        decode_as_every_type(&bytes);
    }
}
