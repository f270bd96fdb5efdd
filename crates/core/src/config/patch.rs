//! Patches: changes to single items of a document whose lists contain named items.
//!
//! Nodes decide and replicate a patch in place of the document that results from the patch, so the
//! cost of a change is proportional to its size. Applying a patch is deterministic: every node that
//! has the base document produces the same bytes.

use super::ConfigError;
use super::check::escape_pointer;
use super::object_writer::ObjectWriter;
use crate::json::{BoundedJson, nesting_depth};
use musli::{Decode, Encode};
use sha2::{Digest as _, Sha256};
use sonic_rs::{JsonValueTrait, LazyValue};
use std::collections::{BTreeMap, BTreeSet};

/// The JSON member that contains the name of an item.
const NAME_MEMBER: &str = "name";
/// The capacity reserved for the brackets and a few new items of a patched list, in bytes.
const LIST_GROWTH_BYTES: usize = 256;

/// The items to put into and to remove from a document's lists.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Patch {
    /// The JSON member that contains the document's revision number.
    pub number_at: String,
    /// The new revision number of the document.
    pub number: u64,
    /// The changes of each list. Invariant: each list occurs at most once.
    pub lists: Vec<ListPatch>,
}

/// The items to put into and to remove from one list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct ListPatch {
    /// The JSON member of the document that contains the list.
    pub list: String,
    /// The items to add, or to replace items of the same names.
    pub put: Vec<Item>,
    /// The names of the items to remove.
    pub remove: Vec<String>,
}

/// A named item as JSON.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Item {
    /// The name of the item, equal to the name in `json`.
    pub name: String,
    /// The complete item as JSON, including its name.
    pub json: String,
}

impl Patch {
    /// Creates the empty patch, which leaves a document unchanged.
    pub fn unchanged() -> Patch {
        Patch::default()
    }

    /// Returns the approximate size, in bytes.
    pub fn size(&self) -> usize {
        self.lists.iter().map(ListPatch::size).sum()
    }

    /// Returns the SHA-256 hash of the patch. Each string is preceded by its length, so that no two
    /// patches are hashed as the same bytes.
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

    /// Returns the maximum nesting depth of the items that are put, in levels.
    pub fn nesting_depth(&self) -> usize {
        let items = self.lists.iter().flat_map(|list| &list.put);
        items.map(|item| nesting_depth(item.json.as_bytes())).max().unwrap_or(0)
    }

    /// Returns the errors of the patch itself, independent of the document that it is applied to.
    pub fn validation_errors(&self) -> Vec<ConfigError> {
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

    /// Applies the patch to `document` and returns the resulting document.
    ///
    /// # Errors
    ///
    /// Fails if the document is not an object of lists of named items, if a name to remove does not
    /// exist, or if the patch itself is invalid. A failed patch changes nothing.
    pub fn apply(&self, document: &str) -> Result<String, Vec<ConfigError>> {
        if *self == Patch::unchanged() {
            return Ok(document.to_owned());
        }
        let errors = self.validation_errors();
        if !errors.is_empty() {
            return Err(errors);
        }
        let bounded = BoundedJson::new(document).map_err(|error| vec![ConfigError::NotJson(error.to_string())])?;
        let mut lists: BTreeMap<&str, &ListPatch> = self.lists.iter().map(|list| (list.list.as_str(), list)).collect();
        let mut patched = ObjectWriter::with_capacity(document.len() + self.size());
        for member in sonic_rs::to_object_iter(bounded.masked()) {
            let (name, value) = member.map_err(|error| vec![ConfigError::NotJson(error.to_string())])?;
            if name.as_ref() as &str == self.number_at {
                patched.add_json(&name, &self.number.to_string());
            } else if let Some(list) = lists.remove(name.as_ref() as &str) {
                patched.add_json(&name, &list.apply(&bounded, value.as_raw_str())?);
            } else {
                patched.add_json(&name, bounded.original_of(value.as_raw_str()));
            }
        }
        // Lists that the document doesn't have yet.
        for (name, list) in lists {
            patched.add_json(name, &list.apply(&bounded, "[]")?);
        }
        Ok(patched.finish())
    }
}

impl ListPatch {
    /// Returns the JSON pointer to the list in the document.
    fn pointer(&self) -> String {
        format!("/{}", escape_pointer(&self.list))
    }

    /// Returns the approximate size, in bytes.
    fn size(&self) -> usize {
        let removed: usize = self.remove.iter().map(String::len).sum();
        let put: usize = self.put.iter().map(|item| item.name.len() + item.json.len()).sum();
        self.list.len() + removed + put
    }

    /// Records an error for each name that is put or removed more than once.
    fn collect_duplicates(&self, errors: &mut Vec<ConfigError>) {
        let mut names = BTreeSet::new();
        for name in self.put.iter().map(|item| &item.name).chain(&self.remove) {
            if !names.insert(name) {
                let pointer = format!("{}/{}", self.pointer(), escape_pointer(name));
                errors.push(ConfigError::Duplicate { pointer });
            }
        }
    }

    /// Applies the changes to `list`, a part of the masked document or an empty list, and returns the resulting
    /// list as JSON. Replaced items keep their positions; new items are appended in the order of the patch.
    fn apply(&self, document: &BoundedJson, list: &str) -> Result<String, Vec<ConfigError>> {
        let mut put: BTreeMap<&str, &str> =
            self.put.iter().map(|item| (item.name.as_str(), item.json.as_str())).collect();
        let mut remove: BTreeSet<&str> = self.remove.iter().map(String::as_str).collect();
        let mut patched = ListWriter::with_capacity(list.len() + LIST_GROWTH_BYTES);
        for item in sonic_rs::to_array_iter(list) {
            let item = item.map_err(|_| vec![self.not_a_list()])?;
            let name = item_name(&item);
            let name = name.as_deref().unwrap_or_default();
            if remove.remove(name) {
                continue;
            }
            patched.add_json(put.remove(name).unwrap_or_else(|| document.original_of(item.as_raw_str())));
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

/// Returns the name of an item, if the item has one.
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
