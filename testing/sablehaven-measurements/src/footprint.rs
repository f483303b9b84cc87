//! What a process occupies: memory, including the bytes in the queues of its sockets, and descriptors.

use std::{
    net::Ipv4Addr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{JoinHandle, sleep, spawn},
    time::Duration,
};

/// Time between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);
/// State of a listening socket in `/proc/net/tcp`. Its queues count connections.
const LISTENING: &str = "0A";

/// The largest footprint that was seen.
#[derive(Clone, Copy, Debug, Default)]
pub struct Footprint {
    /// Resident memory and the bytes that are unread or not yet acknowledged, in bytes.
    pub memory_bytes: u64,
    /// Open descriptors.
    pub descriptors: usize,
}

/// Samples the footprint of a process until it is stopped.
pub struct FootprintWatch {
    is_stopped: Arc<AtomicBool>,
    sampler: JoinHandle<Footprint>,
}

impl FootprintWatch {
    /// Watches the process `id`, whose connections are those of the address `ip`.
    pub fn start(id: u32, ip: Ipv4Addr) -> Self {
        let is_stopped = Arc::new(AtomicBool::new(false));
        let stop_flag = Arc::clone(&is_stopped);
        let sampler = spawn(move || {
            let mut peak = Footprint::default();
            while !stop_flag.load(Ordering::SeqCst) {
                let memory_bytes = resident_bytes(id, "VmRSS") + queued_bytes(ip);
                peak.memory_bytes = peak.memory_bytes.max(memory_bytes);
                peak.descriptors = peak.descriptors.max(descriptors(id));
                sleep(SAMPLE_INTERVAL);
            }
            // The peak between two samples.
            peak.memory_bytes = peak.memory_bytes.max(resident_bytes(id, "VmHWM"));
            peak
        });
        Self {
            is_stopped,
            sampler,
        }
    }

    /// Stops sampling and returns the largest footprint.
    pub fn stop(self) -> Footprint {
        self.is_stopped.store(true, Ordering::SeqCst);
        self.sampler.join().expect("samples")
    }
}

/// Whether a process has not ended.
pub fn is_alive(id: u32) -> bool {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let state = status.lines().find(|line| line.starts_with("State:"));
    state.is_some_and(|line| !line.contains("zombie"))
}

/// A size in `/proc/ID/status`, in bytes; 0 once the process has ended.
fn resident_bytes(id: u32, key: &str) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with(key));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
    kilobytes.unwrap_or_default() * 1024
}

fn descriptors(id: u32) -> usize {
    std::fs::read_dir(format!("/proc/{id}/fd")).map_or(0, Iterator::count)
}

/// Bytes in the queues of all connections of an address: those that have arrived and are not read yet, and those that
/// are written and not yet acknowledged.
fn queued_bytes(ip: Ipv4Addr) -> u64 {
    let local = format!("{:08X}:", u32::from_le_bytes(ip.octets()));
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let queues = |line: &str| {
        let mut fields = line.split_whitespace().skip(1);
        let is_local = fields.next()?.starts_with(&local);
        let state = fields.nth(1)?;
        let (unsent, unread) = fields.next()?.split_once(':')?;
        let length = |queue| u64::from_str_radix(queue, 16).unwrap_or_default();
        let is_counted = is_local && state != LISTENING;
        is_counted.then(|| length(unsent) + length(unread))
    };
    table.lines().filter_map(queues).sum()
}
