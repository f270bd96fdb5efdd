//! Changes to single items of a document whose lists contain named items.
//!
//! A patch is agreed on and passed between nodes in place of the document that results from it, so
//! the cost of a change is proportional to its size. Applying it is deterministic: every node that
//! has the document it was built on produces the same bytes.

use super::ConfigError;
use super::check::escape_pointer;
use super::object_writer::ObjectWriter;
use musli::{Decode, Encode};
use sha2::{Digest as _, Sha256};
use sonic_rs::{JsonValueTrait, LazyValue};
use std::collections::{BTreeMap, BTreeSet};

/// The member of an item that names it.
const NAME_MEMBER: &str = "name";
/// Room for the brackets and a few new items of a list, in bytes.
const LIST_SPARE_BYTES: usize = 256;

/// The items that are put into and removed from a document's lists.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Patch {
    /// The member that contains the document's own number.
    pub number_at: String,
    /// The number that the document gets.
    pub number: u64,
    /// The changes, list by list; each list at most once.
    pub lists: Vec<ListPatch>,
}

/// The changes of one list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct ListPatch {
    /// The member of the document that is the list.
    pub list: String,
    /// Items that are added, or replace those with the same names.
    pub put: Vec<Item>,
    /// The names of items that are removed.
    pub remove: Vec<String>,
}

/// A named item as JSON.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Item {
    /// Its name, the same as in its JSON.
    pub name: String,
    /// The complete item, including its name.
    pub json: String,
}

impl Patch {
    /// The patch that leaves a document as it is.
    pub fn unchanged() -> Patch {
        Patch::default()
    }

    /// Its approximate size, in bytes.
    pub fn size(&self) -> usize {
        self.lists.iter().map(ListPatch::size).sum()
    }

    /// A SHA-256 hash that differs from that of every other patch. Each text is preceded by its
    /// length, so that no two patches are hashed as the same bytes.
    pub fn hash(&self) -> [u8; 32] {
        let mut hash = Sha256::new();
        let mut add = |text: &str| {
            hash.update((text.len() as u64).to_be_bytes());
            hash.update(text.as_bytes());
        };
        add(&self.number_at);
        add(&self.number.to_string());
        for list in &self.lists {
            add(&list.list);
            add(&list.put.len().to_string());
            for item in &list.put {
                add(&item.name);
                add(&item.json);
            }
            add(&list.remove.len().to_string());
            list.remove.iter().for_each(|name| add(name));
        }
        hash.finalize().into()
    }

    /// The errors of the patch itself, whatever document it is applied to.
    pub fn troubles(&self) -> Vec<ConfigError> {
        if self.lists.iter().all(|list| list.put.is_empty() && list.remove.is_empty()) {
            let expected = "an item to put or a name to remove".into();
            return vec![ConfigError::Missing { pointer: String::new(), expected }];
        }
        let mut errors = Vec::new();
        let mut lists = BTreeSet::new();
        for list in &self.lists {
            if !lists.insert(&list.list) {
                errors.push(ConfigError::Duplicate { pointer: list.pointer() });
            }
            list.collect_duplicates(&mut errors);
        }
        errors
    }

    /// The document that results from applying it to `document`.
    ///
    /// # Errors
    ///
    /// If the document is no object of lists of named items, if a name to remove does not exist, or
    /// if the patch itself is wrong; then nothing of it is applied.
    pub fn apply(&self, document: &str) -> Result<String, Vec<ConfigError>> {
        if *self == Patch::unchanged() {
            return Ok(document.to_owned());
        }
        let errors = self.troubles();
        if !errors.is_empty() {
            return Err(errors);
        }
        let mut lists: BTreeMap<&str, &ListPatch> = self.lists.iter().map(|list| (list.list.as_str(), list)).collect();
        let mut patched = ObjectWriter::with_capacity(document.len() + self.size());
        for member in sonic_rs::to_object_iter(document) {
            let (name, value) = member.map_err(|error| vec![ConfigError::NotJson(error.to_string())])?;
            if name.as_ref() as &str == self.number_at {
                patched.add_json(&name, &self.number.to_string());
            } else if let Some(list) = lists.remove(name.as_ref() as &str) {
                patched.add_json(&name, &list.apply(value.as_raw_str())?);
            } else {
                patched.add_json(&name, value.as_raw_str());
            }
        }
        // Lists that the document does not have yet.
        for (name, list) in lists {
            patched.add_json(name, &list.apply("[]")?);
        }
        Ok(patched.finish())
    }
}

impl ListPatch {
    /// The place of the list in the document, as a JSON pointer.
    fn pointer(&self) -> String {
        format!("/{}", escape_pointer(&self.list))
    }

    /// Its approximate size, in bytes.
    fn size(&self) -> usize {
        let removed: usize = self.remove.iter().map(String::len).sum();
        let put: usize = self.put.iter().map(|item| item.name.len() + item.json.len()).sum();
        self.list.len() + removed + put
    }

    /// Notes each name that is put or removed more than once.
    fn collect_duplicates(&self, errors: &mut Vec<ConfigError>) {
        let mut names = BTreeSet::new();
        for name in self.put.iter().map(|item| &item.name).chain(&self.remove) {
            if !names.insert(name) {
                let pointer = format!("{}/{}", self.pointer(), escape_pointer(name));
                errors.push(ConfigError::Duplicate { pointer });
            }
        }
    }

    /// The list that results from applying it to `list`, both as JSON. Replaced items keep their
    /// places; new ones come last, in the order of the patch.
    fn apply(&self, list: &str) -> Result<String, Vec<ConfigError>> {
        let mut put: BTreeMap<&str, &str> =
            self.put.iter().map(|item| (item.name.as_str(), item.json.as_str())).collect();
        let mut remove: BTreeSet<&str> = self.remove.iter().map(String::as_str).collect();
        let mut patched = ListWriter::with_capacity(list.len() + LIST_SPARE_BYTES);
        for item in sonic_rs::to_array_iter(list) {
            let item = item.map_err(|_| vec![self.not_a_list()])?;
            let name = item_name(&item);
            let name = name.as_deref().unwrap_or_default();
            if remove.remove(name) {
                continue;
            }
            patched.add_json(put.remove(name).unwrap_or(item.as_raw_str()));
        }
        let added = self.put.iter().filter(|item| put.contains_key(item.name.as_str()));
        added.for_each(|item| patched.add_json(&item.json));
        if !remove.is_empty() {
            return Err(remove.into_iter().map(|name| self.unknown_item(name)).collect());
        }
        Ok(patched.finish())
    }

    fn not_a_list(&self) -> ConfigError {
        ConfigError::InvalidValue { pointer: self.pointer(), actual: "not a list".into(), expected: "a list".into() }
    }

    fn unknown_item(&self, name: &str) -> ConfigError {
        ConfigError::Dangling { pointer: self.pointer(), name: name.into(), collection: self.pointer() }
    }
}

/// The name of an item, if it has one.
fn item_name(item: &LazyValue) -> Option<String> {
    item.get(NAME_MEMBER)?.as_str().map(str::to_owned)
}

/// A JSON list under construction.
struct ListWriter(String);

impl ListWriter {
    fn with_capacity(capacity: usize) -> ListWriter {
        let mut text = String::with_capacity(capacity);
        text.push('[');
        ListWriter(text)
    }

    fn add_json(&mut self, json: &str) {
        if self.0.len() > 1 {
            self.0.push(',');
        }
        self.0.push_str(json);
    }

    fn finish(mut self) -> String {
        self.0.push(']');
        self.0
    }
}
