//! A reading of the server list may contain several entries with the same id, one for each start of the server.

use sablehaven_types::{ListedServer, ServerListing};

fn entry(id: &str, port: u16, started_at_ms: Option<u64>) -> ListedServer {
    ListedServer {
        id: id.into(),
        service: "search".into(),
        address: ([127, 0, 0, 1], port).into(),
        zone: "a".into(),
        slots: 1,
        is_draining: false,
        warmup_left_ms: 0,
        started_at_ms,
    }
}

#[test]
fn only_the_entry_with_the_latest_start_is_kept() {
    let servers = vec![
        entry("i-1", 1, Some(1_000)),
        entry("i-2", 2, None),
        entry("i-1", 3, Some(2_000)),
        entry("i-1", 4, Some(2_000)),
    ];
    let kept = ServerListing::latest_starts(servers);
    let ports: Vec<u16> = kept.iter().map(|server| server.address.port()).collect();
    assert_eq!(ports, [2, 3]);
}
