//! Processor time and memory of a process, from `/proc` (see proc(5)).

use std::{fs, io, path::PathBuf, time::Duration};

/// Clock ticks a second in `/proc/<pid>/stat`; 100 on every Linux system of today.
const TICKS_PER_SECOND: u64 = 100;

/// Errors of reading; each names the file.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum ProcessError {
    /// read {path}: {source}
    Read {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// read {path}: {what} is missing or not a number
    Malformed {
        /// The file.
        path: PathBuf,
        /// What was looked for.
        what: &'static str,
    },
}

/// What a process has used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessUse {
    /// Processor time in user and system mode since its start.
    pub processor: Duration,
    /// Memory that is resident now, in bytes.
    pub resident_bytes: u64,
}

/// Reads what a process has used.
pub fn read(id: u32) -> Result<ProcessUse, ProcessError> {
    Ok(ProcessUse {
        processor: processor(id)?,
        resident_bytes: resident_bytes(id)?,
    })
}

fn processor(id: u32) -> Result<Duration, ProcessError> {
    // Fields 14 and 15 of the file; the second field may hold blanks and ends at the last ')'.
    const USER_AFTER_NAME: usize = 11;
    const SYSTEM_AFTER_NAME: usize = 12;
    let path = PathBuf::from(format!("/proc/{id}/stat"));
    let text = read_file(&path)?;
    let fields: Vec<_> = text
        .rsplit_once(')')
        .map(|(_, fields)| fields.split_whitespace().collect())
        .unwrap_or_default();
    let ticks = |place: usize| {
        fields
            .get(place)
            .and_then(|field| field.parse::<u64>().ok())
    };
    match (ticks(USER_AFTER_NAME), ticks(SYSTEM_AFTER_NAME)) {
        (Some(user), Some(system)) => {
            let milliseconds = (user + system) * 1_000 / TICKS_PER_SECOND;
            Ok(Duration::from_millis(milliseconds))
        }
        _ => Err(ProcessError::Malformed {
            path,
            what: "processor time",
        }),
    }
}

fn resident_bytes(id: u32) -> Result<u64, ProcessError> {
    let path = PathBuf::from(format!("/proc/{id}/status"));
    let text = read_file(&path)?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line
        .and_then(|line| line.split_whitespace().next())
        .and_then(|field| field.parse::<u64>().ok());
    kilobytes
        .map(|kilobytes| kilobytes * 1_024)
        .ok_or(ProcessError::Malformed {
            path,
            what: "VmRSS",
        })
}

fn read_file(path: &PathBuf) -> Result<String, ProcessError> {
    fs::read_to_string(path).map_err(|source| ProcessError::Read {
        path: path.clone(),
        source,
    })
}
