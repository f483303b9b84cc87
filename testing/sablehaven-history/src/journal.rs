//! Journals: events as JSON lines in a file.

use std::{
    fs::File,
    io::{BufRead, BufReader, BufWriter, Write},
    path::{Path, PathBuf},
    sync::{Arc, Mutex, PoisonError},
};

use serde::{Deserialize, Serialize};

use crate::Event;

/// Errors of writing and reading a journal; each names the file.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum JournalError {
    /// open journal {path}: {source}
    Open {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// read journal {path}, line {line}: {source}
    Read {
        /// The file.
        path: PathBuf,
        /// The line, counted from 1.
        line: usize,
        /// The cause.
        source: std::io::Error,
    },
    /// decode journal {path}, line {line}: {source}
    Decode {
        /// The file.
        path: PathBuf,
        /// The line, counted from 1.
        line: usize,
        /// The cause.
        source: serde_json::Error,
    },
    /// write journal {path}: {source}
    Write {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
}

/// Everything that a run recorded, in any order.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct History {
    /// The events.
    pub events: Vec<Event>,
}

impl History {
    /// Reads a journal that [`History::write`] or a [`Recorder`] wrote.
    pub fn read(path: &Path) -> Result<Self, JournalError> {
        let file = File::open(path).map_err(|source| JournalError::Open {
            path: path.to_owned(),
            source,
        })?;
        let mut events = Vec::new();
        for (index, text) in BufReader::new(file).lines().enumerate() {
            let line = index + 1;
            let text = text.map_err(|source| JournalError::Read {
                path: path.to_owned(),
                line,
                source,
            })?;
            let event = serde_json::from_str(&text).map_err(|source| JournalError::Decode {
                path: path.to_owned(),
                line,
                source,
            })?;
            events.push(event);
        }
        Ok(Self { events })
    }

    /// Writes the events as JSON lines, replacing the file.
    pub fn write(&self, path: &Path) -> Result<(), JournalError> {
        let file = File::create(path).map_err(|source| JournalError::Open {
            path: path.to_owned(),
            source,
        })?;
        let mut writer = BufWriter::new(file);
        for event in &self.events {
            write_line(&mut writer, event).map_err(|source| JournalError::Write {
                path: path.to_owned(),
                source,
            })?;
        }
        writer.flush().map_err(|source| JournalError::Write {
            path: path.to_owned(),
            source,
        })
    }
}

fn write_line(writer: &mut impl Write, event: &Event) -> std::io::Result<()> {
    serde_json::to_writer(&mut *writer, event)?;
    writer.write_all(b"\n")
}

/// Gathers the events of one run; cheap to clone and to share between tasks.
#[derive(Clone, Debug, Default)]
pub struct Recorder {
    events: Arc<Mutex<Vec<Event>>>,
}

impl Recorder {
    /// A recorder without events.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds an event.
    pub fn record(&self, event: Event) {
        self.lock().push(event);
    }

    /// Adds several events.
    pub fn extend(&self, events: impl IntoIterator<Item = Event>) {
        self.lock().extend(events);
    }

    /// The number of events so far.
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Whether there is no event yet.
    pub fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }

    /// A copy of the events so far.
    pub fn history(&self) -> History {
        History {
            events: self.lock().clone(),
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Event>> {
        self.events.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
