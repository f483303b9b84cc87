//! Random and damaged bytes as messages: a clear error or a message, never a panic, and no more
//! memory than the bytes call for.

use proptest::{prelude::*, test_runner::RngSeed};
use sablehaven_types::{
    BackendId, ClaimId, LedgerKey, LedgerRequest, Observation, ObservationKind,
};
use sablehaven_wire::{
    AgentToRelay, ControlToRelay, EncodedMessage, Hello, LeaseGrant, PeerMessage, RelayToAgent,
    RelayToControl, StateUpdate,
};
use serde::{Serialize, de::DeserializeOwned};

fn configuration() -> ProptestConfig {
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
        // Every value takes at least one byte in the input, and at most nine again in the output.
        assert!(encoded.size() <= 16 + 9 * bytes.len());
    }
}

fn decode_as_each(bytes: &[u8]) {
    decode_as::<Hello>(bytes);
    decode_as::<AgentToRelay>(bytes);
    decode_as::<RelayToAgent>(bytes);
    decode_as::<RelayToControl>(bytes);
    decode_as::<ControlToRelay>(bytes);
    decode_as::<PeerMessage>(bytes);
}

fn samples() -> Vec<Vec<u8>> {
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
fn lengths_that_promise_more_than_the_bytes_are_errors() {
    // An array, a map and a byte string, each of 4,294,967,295 elements that do not follow.
    for head in [0xdd_u8, 0xdf, 0xc6] {
        let claimed = [head, 0xff, 0xff, 0xff, 0xff];
        assert!(rmp_serde::from_slice::<PeerMessage>(&claimed).is_err());
        let observe = [&[0x81, 0xa7][..], b"Observe", &claimed].concat();
        assert!(rmp_serde::from_slice::<AgentToRelay>(&observe).is_err());
    }
}

#[test]
fn deep_nesting_is_an_error_not_an_overflow() {
    let nested = vec![0x91_u8; 100_000];
    assert!(rmp_serde::from_slice::<AgentToRelay>(&nested).is_err());
    assert!(rmp_serde::from_slice::<StateUpdate>(&nested).is_err());
}

proptest! {
    #![proptest_config(configuration())]

    #[test]
    fn random_bytes_do_no_harm(bytes in prop::collection::vec(any::<u8>(), 0..512)) {
        decode_as_each(&bytes);
    }

    #[test]
    fn damaged_messages_do_no_harm(
        sample in 0usize..8,
        damage in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..8),
        cut in any::<prop::sample::Index>(),
    ) {
        let mut bytes = samples()[sample].clone();
        for (position, value) in damage {
            let at = position.index(bytes.len());
            bytes[at] = value;
        }
        bytes.truncate(cut.index(bytes.len()) + 1);
        decode_as_each(&bytes);
    }
}
