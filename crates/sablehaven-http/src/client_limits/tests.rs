//! Tests of the limits' defaults and of their validation.

use super::{ClientLimits, MachineLimits, parse_descriptors, parse_memory};

const MEBIBYTE: usize = 1024 * 1024;
const HEADER_BYTES: usize = 16 * 1024;

fn machine(megabytes: usize, descriptors: u64) -> MachineLimits {
    MachineLimits {
        memory_bytes: (megabytes * MEBIBYTE) as u64,
        descriptors,
    }
}

/// Whatever clients do, half of the memory and half of the descriptors remain for the process itself.
#[test]
fn clients_use_at_most_half_of_a_machine() {
    for megabytes in [32, 48, 160, 260, 440, 24 * 1024] {
        for descriptors in [64, 500, 1_024, 3_900, 1_000_000] {
            let limits = ClientLimits::for_machine(machine(megabytes, descriptors));
            assert!(limits.validate("clients").is_empty());
            let memory = limits.connection_bytes + limits.body_bytes;
            assert!(memory <= megabytes * MEBIBYTE / 2);
            let connections = limits.connections(HEADER_BYTES);
            assert!(connections <= usize::try_from(descriptors).expect("small") / 2);
            assert!(connections * 2 * HEADER_BYTES <= limits.connection_bytes);
        }
    }
}

#[test]
fn larger_heads_leave_room_for_fewer_connections() {
    let limits = ClientLimits::for_machine(machine(160, 3_900));
    assert!(limits.connections(64 * 1024) < limits.connections(HEADER_BYTES));
    assert_eq!(limits.connections(usize::MAX / 16), 1);
}

#[test]
fn invalid_limits_are_named() {
    let limits = ClientLimits {
        max_connections: 0,
        connection_bytes: 0,
        body_bytes: 0,
        max_probe_connections: 0,
        socket_buffer_bytes: 0,
    };
    let errors = limits.validate("gateway.clients");
    let keys: Vec<&str> = errors.iter().map(|error| error.key.as_str()).collect();
    let expected = [
        "gateway.clients.max_connections",
        "gateway.clients.connection_bytes",
        "gateway.clients.body_bytes",
        "gateway.clients.max_probe_connections",
        "gateway.clients.socket_buffer_bytes",
    ];
    assert_eq!(keys, expected);
}

#[test]
fn limits_of_the_machine_are_parsed() {
    assert_eq!(
        parse_memory("MemFree: 1 kB\nMemTotal:  2048 kB\n"),
        Some(2 * 1024 * 1024)
    );
    assert_eq!(parse_memory("MemTotal: many"), None);
    let limits = "Limit  Soft Limit  Hard Limit  Units\nMax open files   4096   20000   files\n";
    assert_eq!(parse_descriptors(limits), Some(4_096));
    assert_eq!(
        parse_descriptors("Max open files  unlimited  unlimited  files"),
        None
    );
}
