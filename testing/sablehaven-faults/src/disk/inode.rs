//! One file's content: what the process sees and what is on the medium.

use rand::{Rng, RngExt};

/// The unit in which the medium writes, in bytes; a sector is written whole or not at all.
const SECTOR_BYTES: usize = 512;

/// A change that is not synced.
#[derive(Clone, Debug)]
enum PendingChange {
    Write { offset: usize, bytes: Vec<u8> },
    Truncate(usize),
}

/// A file's content.
#[derive(Clone, Debug, Default)]
pub(super) struct Inode {
    /// What reading gives.
    pub(super) cached: Vec<u8>,
    /// What a power failure leaves.
    durable: Vec<u8>,
    pending: Vec<PendingChange>,
}

impl Inode {
    pub(super) fn write_at(&mut self, offset: usize, bytes: &[u8]) {
        write_into(&mut self.cached, offset, bytes);
        let bytes = bytes.to_vec();
        self.pending.push(PendingChange::Write { offset, bytes });
    }

    pub(super) fn truncate(&mut self, length: usize) {
        self.cached.resize(length, 0);
        self.pending.push(PendingChange::Truncate(length));
    }

    /// Everything reaches the medium.
    pub(super) fn sync(&mut self) {
        for change in std::mem::take(&mut self.pending) {
            match change {
                PendingChange::Write { offset, bytes } => {
                    write_into(&mut self.durable, offset, &bytes);
                }
                PendingChange::Truncate(length) => self.durable.resize(length, 0),
            }
        }
    }

    /// A part reaches the medium and the rest is forgotten, although reading still gives it: a later
    /// sync does not bring it to the medium, unless it is written again.
    pub(super) fn fail_sync(&mut self, keep_percent: u32, random: &mut impl Rng) {
        self.persist_some(keep_percent, random);
    }

    /// The power fails.
    pub(super) fn lose_unsynced(&mut self, keep_percent: u32, random: &mut impl Rng) {
        self.persist_some(keep_percent, random);
        self.cached = self.durable.clone();
    }

    /// Replaces the content everywhere: damage that nothing reports.
    pub(super) fn damage(&mut self, content: Vec<u8>) {
        self.durable = content.clone();
        self.cached = content;
        self.pending.clear();
    }

    fn persist_some(&mut self, keep_percent: u32, random: &mut impl Rng) {
        for change in std::mem::take(&mut self.pending) {
            match change {
                PendingChange::Write { offset, bytes } => {
                    self.persist_some_sectors(offset, &bytes, keep_percent, random);
                }
                PendingChange::Truncate(length) => {
                    if is_kept(keep_percent, random) {
                        self.durable.resize(length, 0);
                    }
                }
            }
        }
    }

    fn persist_some_sectors(
        &mut self,
        offset: usize,
        bytes: &[u8],
        keep_percent: u32,
        random: &mut impl Rng,
    ) {
        let end = offset + bytes.len();
        let mut begin = offset;
        while begin < end {
            let sector_end = (begin / SECTOR_BYTES + 1) * SECTOR_BYTES;
            let part_end = sector_end.min(end);
            if is_kept(keep_percent, random) {
                let part = &bytes[begin - offset..part_end - offset];
                write_into(&mut self.durable, begin, part);
            }
            begin = part_end;
        }
        // The new length can reach the medium without the content.
        if self.durable.len() < end && is_kept(keep_percent, random) {
            self.durable.resize(end, 0);
        }
    }
}

pub(super) fn is_kept(keep_percent: u32, random: &mut impl Rng) -> bool {
    random.random_range(0..100) < keep_percent
}

fn write_into(content: &mut Vec<u8>, offset: usize, bytes: &[u8]) {
    let end = offset + bytes.len();
    if content.len() < end {
        content.resize(end, 0);
    }
    content[offset..end].copy_from_slice(bytes);
}
