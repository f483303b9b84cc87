//! Reads the CPU time of groups of threads and the memory of the process from `/proc`.

use std::{collections::HashMap, fs, time::Duration};

/// The CPU time that each thread of a group has used, by thread, when the sample was taken.
pub struct Sample(HashMap<String, Duration>);

impl Sample {
    /// Returns the CPU time used since an earlier sample by the threads that still run.
    pub fn since(&self, earlier: &Sample) -> Duration {
        let threads = self.0.iter();
        let used = threads.map(|(thread, now)| {
            let before = earlier.0.get(thread).copied().unwrap_or_default();
            now.saturating_sub(before)
        });
        used.sum()
    }
}

/// Samples the threads whose name starts with `name`.
pub fn sample_threads(name: &str) -> Sample {
    let threads = fs::read_dir("/proc/self/task").into_iter().flatten();
    let mut sample = HashMap::new();
    for thread in threads.flatten() {
        let folder = thread.path();
        let comm = fs::read_to_string(folder.join("comm")).unwrap_or_default();
        if !comm.starts_with(name) {
            continue;
        }
        let schedule = fs::read_to_string(folder.join("schedstat")).unwrap_or_default();
        let nanoseconds = schedule
            .split(' ')
            .next()
            .and_then(|text| text.parse().ok());
        let used = Duration::from_nanos(nanoseconds.unwrap_or(0));
        sample.insert(folder.display().to_string(), used);
    }
    Sample(sample)
}

/// Returns the resident memory of the process in MiB.
pub fn resident_mib() -> f64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1));
    let kib: f64 = kib.and_then(|text| text.parse().ok()).unwrap_or(f64::NAN);
    kib / 1024.0
}

/// Returns the load average of the machine, which shows whether other work disturbed the run.
pub fn load_average() -> String {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split(' ').take(3).collect::<Vec<_>>().join(" ")
}
