//! Changes to single items of a document whose lists hold named items.
//!
//! A patch is agreed and passed between nodes in the place of the document that it makes, so a
//! change costs what it changes. Applying it is deterministic: every node that holds the document
//! it was built on makes the same bytes.

use super::ConfigError;
use musli::{Decode, Encode};
use sha2::{Digest as _, Sha256};
use sonic_rs::{JsonValueTrait, LazyValue};
use std::collections::{BTreeMap, BTreeSet};

/// The member of an item that names it.
const NAME: &str = "name";

/// What is put into and taken out of a document's lists.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Patch {
    /// The member that holds the document's own number, and the number it gets.
    pub number_at: String,
    pub number: u64,
    pub lists: Vec<ListPatch>,
}

/// The changes of one list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct ListPatch {
    /// The member of the document that is the list.
    pub list: String,
    /// Items that are added, or take the place of those with their names.
    pub put: Vec<Item>,
    /// The names of items that are taken out.
    pub remove: Vec<String>,
}

/// A named item as JSON.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Item {
    pub name: String,
    pub json: String,
}

impl Patch {
    /// Leaves a document as it is.
    pub fn unchanged() -> Patch {
        Patch::default()
    }

    /// About how many bytes it has.
    pub fn size(&self) -> usize {
        let names = |l: &ListPatch| l.remove.iter().map(String::len).sum::<usize>();
        let items = |l: &ListPatch| l.put.iter().map(|i| i.name.len() + i.json.len()).sum::<usize>();
        self.lists.iter().map(|l| l.list.len() + names(l) + items(l)).sum()
    }

    /// Tells it from every other patch.
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

    /// What is wrong with it, whatever document it is applied to.
    pub fn troubles(&self) -> Vec<ConfigError> {
        let empty = self.lists.iter().all(|l| l.put.is_empty() && l.remove.is_empty());
        if empty {
            return vec![ConfigError::Missing { at: String::new(), want: "an item to put or a name to remove".into() }];
        }
        let mut out = Vec::new();
        let mut lists = BTreeSet::new();
        for list in &self.lists {
            let at = format!("/{}", list.list);
            if !lists.insert(&list.list) {
                out.push(ConfigError::Twice { at: at.clone() });
            }
            let mut names = BTreeSet::new();
            for name in list.put.iter().map(|i| &i.name).chain(&list.remove) {
                if !names.insert(name) {
                    out.push(ConfigError::Twice { at: format!("{at}/{name}") });
                }
            }
        }
        out
    }

    /// The document that it makes of this one.
    ///
    /// # Errors
    ///
    /// Where the document is no object of lists of named items, where a name to remove is not
    /// there, or where the patch itself is wrong; then nothing of it applies.
    pub fn apply(&self, document: &str) -> Result<String, Vec<ConfigError>> {
        if *self == Patch::unchanged() {
            return Ok(document.to_owned());
        }
        let troubles = self.troubles();
        if !troubles.is_empty() {
            return Err(troubles);
        }
        let mut lists: BTreeMap<&str, &ListPatch> = self.lists.iter().map(|l| (l.list.as_str(), l)).collect();
        let mut out = Members::new(document.len() + self.size());
        for member in sonic_rs::to_object_iter(document) {
            let (key, value) = member.map_err(|e| vec![ConfigError::NotJson(e.to_string())])?;
            if key.as_ref() as &str == self.number_at {
                out.add(&key, &self.number.to_string());
            } else if let Some(list) = lists.remove(key.as_ref() as &str) {
                out.add(&key, &list.apply(value.as_raw_str())?);
            } else {
                out.add(&key, value.as_raw_str());
            }
        }
        for (key, list) in lists {
            out.add(key, &list.apply("[]")?);
        }
        Ok(out.end())
    }
}

impl ListPatch {
    fn apply(&self, list: &str) -> Result<String, Vec<ConfigError>> {
        let at = format!("/{}", self.list);
        let mut put: BTreeMap<&str, &str> = self.put.iter().map(|i| (i.name.as_str(), i.json.as_str())).collect();
        let mut remove: BTreeSet<&str> = self.remove.iter().map(String::as_str).collect();
        let mut out = String::with_capacity(list.len() + 256);
        out.push('[');
        let mut add = |json: &str| {
            if out.len() > 1 {
                out.push(',');
            }
            out.push_str(json);
        };
        for item in sonic_rs::to_array_iter(list) {
            let item = item.map_err(|_| {
                vec![ConfigError::Wrong { at: at.clone(), is: "no list".into(), want: "a list".into() }]
            })?;
            let name = name_of(&item);
            let name = name.as_deref().unwrap_or_default();
            if remove.remove(name) {
                continue;
            }
            add(put.remove(name).unwrap_or(item.as_raw_str()));
        }
        // Those that were not there come last, in the order in which they were sent.
        self.put.iter().filter(|i| put.contains_key(i.name.as_str())).for_each(|i| add(&i.json));
        let missing = remove.into_iter().map(|name| ConfigError::Dangling {
            at: at.clone(),
            name: name.into(),
            sort: at.clone(),
        });
        let missing: Vec<_> = missing.collect();
        if !missing.is_empty() {
            return Err(missing);
        }
        out.push(']');
        Ok(out)
    }
}

/// The name of an item, where it has one.
fn name_of(item: &LazyValue) -> Option<String> {
    item.get(NAME)?.as_str().map(str::to_owned)
}

/// An object that is written member by member.
struct Members(String);

impl Members {
    fn new(bytes: usize) -> Members {
        let mut text = String::with_capacity(bytes);
        text.push('{');
        Members(text)
    }

    fn add(&mut self, key: &str, json: &str) {
        if self.0.len() > 1 {
            self.0.push(',');
        }
        self.0.push_str(&sonic_rs::to_string(key).unwrap_or_default());
        self.0.push(':');
        self.0.push_str(json);
    }

    fn end(mut self) -> String {
        self.0.push('}');
        self.0
    }
}
