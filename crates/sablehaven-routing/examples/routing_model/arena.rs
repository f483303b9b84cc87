//! Storage for attempts and queries whose keys stay unique after the entry is gone.

/// The key of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Key {
    index: u32,
    generation: u32,
}

/// Entries by key; a key of a removed entry finds nothing.
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
    /// Stores an entry.
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

    /// The entry, if it is still there.
    pub fn get(&self, key: Key) -> Option<&Entry> {
        let (generation, entry) = self.slots.get(key.index as usize)?;
        (*generation == key.generation)
            .then_some(entry.as_ref())
            .flatten()
    }

    /// The entry, to change it, if it is still there.
    pub fn get_mut(&mut self, key: Key) -> Option<&mut Entry> {
        let (generation, entry) = self.slots.get_mut(key.index as usize)?;
        (*generation == key.generation)
            .then_some(entry.as_mut())
            .flatten()
    }

    /// Removes the entry, if it is still there.
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
