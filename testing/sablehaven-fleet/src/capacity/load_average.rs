//! The machine's load, which is noted beside every figure.

/// The load average of the last minute; 0 where the system does not tell.
pub(super) fn read() -> f64 {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let first = text.split_whitespace().next();
    first.and_then(|word| word.parse().ok()).unwrap_or(0.0)
}
