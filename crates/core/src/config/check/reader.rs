//! A typed reader of documents that records errors and continues.

use super::ConfigError;
use super::syntax::escape_pointer;
use sonic_rs::{JsonContainerTrait, JsonType, JsonValueTrait, Object, Value};

/// The maximum length of a string in a document, in bytes.
const MAX_TEXT_BYTES: usize = 512;
/// What an error says is expected of a string.
const TEXT_EXPECTED: &str = "a text of 1 to 512 bytes";
/// The maximum number of characters of an invalid value that an error quotes.
const MAX_EXCERPT_CHARS: usize = 40;

/// A typed reader of one object of a document. The read methods record errors in the list that the
/// caller passes.
pub struct ObjectReader<'a> {
    /// The JSON pointer to the object.
    pointer: String,
    /// The object; `None` if it is absent or the value there is not an object.
    value: Option<&'a Value>,
}

impl<'a> ObjectReader<'a> {
    /// Creates the reader of a document's top-level object.
    pub fn root(value: &'a Value, errors: &mut Vec<ConfigError>) -> Self {
        ObjectReader { pointer: String::new(), value: Some(value) }.require_object(errors)
    }

    fn require_object(mut self, errors: &mut Vec<ConfigError>) -> Self {
        if let Some(value) = self.value
            && !value.is_object()
        {
            errors.push(invalid_value(&self.pointer, value, "an object"));
            self.value = None;
        }
        self
    }

    /// Whether the document has an object at this pointer.
    pub fn is_present(&self) -> bool {
        self.value.is_some()
    }

    /// Returns a member of any type.
    pub fn member(&self, name: &str) -> Option<&'a Value> {
        self.value?.pointer([name])
    }

    /// Returns the JSON pointer to a member.
    pub fn pointer_to(&self, name: &str) -> String {
        format!("{}/{}", self.pointer, escape_pointer(name))
    }

    /// Returns the JSON pointer to an item of a member that is a list.
    pub fn pointer_to_item(&self, name: &str, index: usize) -> String {
        format!("{}/{index}", self.pointer_to(name))
    }

    /// Returns the reader of a member, which must be an object if it is present.
    pub fn object(&self, name: &str, errors: &mut Vec<ConfigError>) -> ObjectReader<'a> {
        ObjectReader { pointer: self.pointer_to(name), value: self.member(name) }.require_object(errors)
    }

    /// Returns the readers of all members by name. Each member must be an object.
    pub fn objects(&self, errors: &mut Vec<ConfigError>) -> Vec<(String, ObjectReader<'a>)> {
        let Some(object) = self.value.and_then(|value| value.as_object()) else { return Vec::new() };
        object
            .iter()
            .map(|(name, value)| {
                let reader = ObjectReader { pointer: self.pointer_to(name), value: Some(value) };
                (name.to_owned(), reader.require_object(errors))
            })
            .collect()
    }

    /// Records an error for each member whose name is not known.
    pub fn reject_unknown(&self, known_names: &[&str], errors: &mut Vec<ConfigError>) {
        let Some(object) = self.value.and_then(|value| value.as_object()) else { return };
        for name in member_names(object) {
            if !known_names.contains(&name.as_str()) {
                let known_names = known_names.join(", ");
                errors.push(ConfigError::UnknownName { pointer: self.pointer_to(&name), known_names });
            }
        }
    }

    /// Records that a member has an invalid value, if the member is present.
    pub fn reject(&self, name: &str, expected: &str, errors: &mut Vec<ConfigError>) {
        if let Some(value) = self.member(name) {
            errors.push(invalid_value(&self.pointer_to(name), value, expected));
        }
    }

    /// Records that a member is missing, if the object is present without it.
    pub fn require(&self, name: &str, expected: &str, errors: &mut Vec<ConfigError>) {
        if self.is_present() && self.member(name).is_none() {
            errors.push(ConfigError::Missing { pointer: self.pointer_to(name), expected: expected.to_owned() });
        }
    }

    /// Reads a whole number from `min` to `max`.
    pub fn integer(&self, name: &str, min: u64, max: u64, errors: &mut Vec<ConfigError>) -> Option<u64> {
        let number = self.member(name)?.as_u64().filter(|number| (min..=max).contains(number));
        if number.is_none() {
            self.reject(name, &format!("a whole number from {min} to {max}"), errors);
        }
        number
    }

    /// Reads a number and returns it in thousandths. The bounds are in thousandths too.
    pub fn thousandths(&self, name: &str, min: u64, max: u64, errors: &mut Vec<ConfigError>) -> Option<u64> {
        let value = self.member(name)?;
        match value.as_f64().map(|number| (number * 1000.0).round()) {
            // Values within the bounds are converted without loss.
            #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, clippy::cast_precision_loss)]
            Some(number) if number >= min as f64 && number <= max as f64 => Some(number as u64),
            _ => {
                let expected = format!("a number from {} to {}", min as f64 / 1000.0, max as f64 / 1000.0);
                self.reject(name, &expected, errors);
                None
            }
        }
    }

    /// Reads a Boolean.
    pub fn boolean(&self, name: &str, errors: &mut Vec<ConfigError>) -> Option<bool> {
        let flag = self.member(name)?.as_bool();
        if flag.is_none() {
            self.reject(name, "true or false", errors);
        }
        flag
    }

    /// Reads a string of 1 to 512 bytes.
    pub fn text(&self, name: &str, errors: &mut Vec<ConfigError>) -> Option<&'a str> {
        let text = valid_text(self.member(name)?);
        if text.is_none() {
            self.reject(name, TEXT_EXPECTED, errors);
        }
        text
    }

    /// Reads all members as whole numbers from 0 to `max`, by name.
    pub fn weights(&self, max: u32, errors: &mut Vec<ConfigError>) -> Vec<(String, u32)> {
        let Some(object) = self.value.and_then(|value| value.as_object()) else { return Vec::new() };
        member_names(object)
            .into_iter()
            .filter_map(|name| {
                let weight = self.integer(&name, 0, u64::from(max), errors)?;
                Some((name, u32::try_from(weight).unwrap_or(max)))
            })
            .collect()
    }

    /// Reads a list of strings of 1 to 512 bytes. Records an error for each other item and skips it.
    pub fn texts(&self, name: &str, errors: &mut Vec<ConfigError>) -> Option<Vec<&'a str>> {
        let Some(list) = self.member(name)?.as_array() else {
            self.reject(name, "a list of texts", errors);
            return None;
        };
        let mut texts = Vec::with_capacity(list.len());
        for (index, item) in list.iter().enumerate() {
            match valid_text(item) {
                Some(text) => texts.push(text),
                None => errors.push(invalid_value(&self.pointer_to_item(name, index), item, TEXT_EXPECTED)),
            }
        }
        Some(texts)
    }
}

fn valid_text(value: &Value) -> Option<&str> {
    value.as_str().filter(|text| !text.is_empty() && text.len() <= MAX_TEXT_BYTES)
}

fn member_names(object: &Object) -> Vec<String> {
    object.iter().map(|(name, _)| name.to_owned()).collect()
}

/// Creates the error for a value that differs from what is expected.
pub fn invalid_value(pointer: &str, value: &Value, expected: &str) -> ConfigError {
    let actual = match value.get_type() {
        JsonType::Null => "null".to_owned(),
        JsonType::Object => "an object".to_owned(),
        JsonType::Array => "a list".to_owned(),
        _ => truncated(value.to_string()),
    };
    ConfigError::InvalidValue { pointer: pointer.to_owned(), actual, expected: expected.to_owned() }
}

fn truncated(text: String) -> String {
    if text.len() <= MAX_EXCERPT_CHARS {
        return text;
    }
    text.chars().take(MAX_EXCERPT_CHARS).collect::<String>() + "…"
}
