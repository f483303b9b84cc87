//! A generational arena for attempts and queries: the key of a removed entry is never valid again.

/// The key of an entry: its slot and the generation of the slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Key {
    index: u32,
    generation: u32,
}

/// A generational arena. A lookup by the key of a removed entry returns `None`.
#[derive(Debug)]
pub struct Arena<Entry> {
    slots: Vec<(u32, Option<Entry>)>,
    free: Vec<u32>,
}

impl<Entry> Default for Arena<Entry> {
    fn default() -> Self {
        Self {
            slots: Vec::new(),
            free: Vec::new(),
        }
    }
}

impl<Entry> Arena<Entry> {
    /// Inserts an entry and returns its key.
    pub fn insert(&mut self, entry: Entry) -> Key {
        if let Some(index) = self.free.pop() {
            let slot = &mut self.slots[index as usize];
            slot.1 = Some(entry);
            return Key {
                index,
                generation: slot.0,
            };
        }
        let index = u32::try_from(self.slots.len()).expect("fewer than 2^32 entries at a time");
        self.slots.push((0, Some(entry)));
        Key {
            index,
            generation: 0,
        }
    }

    /// Returns the entry, or `None` if it was removed.
    pub fn get(&self, key: Key) -> Option<&Entry> {
        let (generation, entry) = self.slots.get(key.index as usize)?;
        (*generation == key.generation)
            .then_some(entry.as_ref())
            .flatten()
    }

    /// Returns a mutable reference to the entry, or `None` if it was removed.
    pub fn get_mut(&mut self, key: Key) -> Option<&mut Entry> {
        let (generation, entry) = self.slots.get_mut(key.index as usize)?;
        (*generation == key.generation)
            .then_some(entry.as_mut())
            .flatten()
    }

    /// Removes and returns the entry, or returns `None` if it was removed before.
    pub fn remove(&mut self, key: Key) -> Option<Entry> {
        let (generation, entry) = self.slots.get_mut(key.index as usize)?;
        if *generation != key.generation {
            return None;
        }
        let removed = entry.take()?;
        *generation += 1;
        self.free.push(key.index);
        Some(removed)
    }
}
