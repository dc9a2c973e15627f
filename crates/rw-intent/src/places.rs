//! Positions of the items of an intent file.

/// Position of an item in the file.
#[derive(Debug)]
pub(crate) struct Place {
    pub(crate) list: &'static str,
    pub(crate) name: String,
    pub(crate) line: usize,
}

/// Positions of all items in the order of the file, to give errors that are found later their line.
#[derive(Debug, Default)]
pub(crate) struct Places {
    items: Vec<Place>,
}

impl Places {
    pub(crate) fn push(&mut self, place: Place) {
        self.items.push(place);
    }

    pub(crate) fn all(&self) -> &[Place] {
        &self.items
    }

    /// Line of the last item with this name; of two duplicates, that is the one to remove.
    pub(crate) fn line_of(&self, list: &str, name: &str) -> usize {
        let mut items = self.items.iter().rev();
        let found = items.find(|p| p.list == list && p.name == name);
        found.map_or(1, |p| p.line)
    }
}
