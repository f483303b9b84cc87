//! The record of a run: what was sent, answered and run, with the time since the start.

use std::{
    fs::File,
    io::Write,
    sync::{Arc, Mutex},
    time::Instant,
};

/// Writes lines to the record file and to standard output; cheap to clone.
#[derive(Clone)]
pub struct Record {
    started_at: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &str) -> Self {
        Self {
            started_at: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path).expect("create the record"))),
        }
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} {text}", self.started_at.elapsed().as_secs_f64());
        println!("{line}");
        self.write(&line);
    }

    /// Writes a line to the file only.
    pub fn quiet_line(&self, text: &str) {
        self.write(&format!(
            "{:8.3} {text}",
            self.started_at.elapsed().as_secs_f64()
        ));
    }

    fn write(&self, line: &str) {
        let _ = writeln!(self.file.lock().expect("record"), "{line}");
    }
}
