//! The platform's list lags behind the truth.

use sablehaven_standins::platform::Platform;
use sablehaven_types::{BackendRecord, BackendState, Placement};

const AN_HOUR_MS: u64 = 3_600_000;

fn record(state: BackendState) -> BackendRecord {
    BackendRecord {
        id: "a".into(),
        service: "test.Stock".into(),
        address: ([127, 0, 0, 1], 1).into(),
        placement: Placement {
            region: "west".into(),
            zone: "west-1".into(),
        },
        state,
        incarnation: 1,
    }
}

#[test]
fn a_change_is_shown_only_after_the_lag() {
    for (lag_ms, shown) in [(0, BackendState::Leaving), (AN_HOUR_MS, BackendState::Live)] {
        let platform = Platform::new(lag_ms, [record(BackendState::Live)]);
        platform.list(record(BackendState::Leaving));
        assert_eq!(platform.shown_list().machines, vec![record(shown)]);
        assert_eq!(
            platform.true_list().machines,
            vec![record(BackendState::Leaving)]
        );
    }
}

#[test]
fn a_removed_machine_disappears_after_the_lag() {
    for (lag_ms, count) in [(0, 0), (AN_HOUR_MS, 1)] {
        let platform = Platform::new(lag_ms, [record(BackendState::Live)]);
        platform.remove(&"a".into());
        assert_eq!(platform.shown_list().machines.len(), count);
        assert!(platform.true_list().machines.is_empty());
    }
}
