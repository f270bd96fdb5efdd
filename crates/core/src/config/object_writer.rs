//! A writer of JSON objects that keeps the order in which members are added.

/// A JSON object under construction.
pub struct ObjectWriter(String);

impl ObjectWriter {
    /// Creates a writer for an object of about `capacity` bytes.
    pub fn with_capacity(capacity: usize) -> ObjectWriter {
        let mut text = String::with_capacity(capacity);
        text.push('{');
        ObjectWriter(text)
    }

    /// Adds a member whose value is already JSON.
    pub fn add_json(&mut self, name: &str, json: &str) {
        if self.0.len() > 1 {
            self.0.push(',');
        }
        self.0.push_str(&quoted(name));
        self.0.push(':');
        self.0.push_str(json);
    }

    /// Adds a number or a Boolean, whose `Display` output is valid JSON.
    pub fn add_plain(&mut self, name: &str, value: impl std::fmt::Display) {
        self.add_json(name, &value.to_string());
    }

    /// Adds a string, quoted and escaped.
    pub fn add_text(&mut self, name: &str, value: &str) {
        self.add_json(name, &quoted(value));
    }

    /// Adds a string, or `null` for none.
    pub fn add_optional_text(&mut self, name: &str, value: Option<&str>) {
        self.add_json(name, &value.map_or_else(|| "null".to_owned(), quoted));
    }

    /// Closes the object and returns its JSON.
    #[must_use]
    pub fn finish(mut self) -> String {
        self.0.push('}');
        self.0
    }
}

/// Returns a string as JSON, with quotes and escapes.
fn quoted(text: &str) -> String {
    sonic_rs::to_string(text).unwrap_or_default()
}
