//! Typed reading of a document, which notes each trouble and goes on.

use super::ConfigError;
use super::shape::esc;
use sonic_rs::{JsonContainerTrait, JsonType, JsonValueTrait, Object, Value};

/// Reads one object by pointers and notes every trouble that it meets.
pub struct Read<'a> {
    pub at: String,
    v: Option<&'a Value>,
}

impl<'a> Read<'a> {
    /// Begins at the top of a document.
    pub fn root(v: &'a Value, out: &mut Vec<ConfigError>) -> Self {
        Read { at: String::new(), v: Some(v) }.typed(out)
    }

    fn typed(mut self, out: &mut Vec<ConfigError>) -> Self {
        if let Some(v) = self.v
            && !v.is_object()
        {
            out.push(wrong(&self.at, v, "an object"));
            self.v = None;
        }
        self
    }

    /// Whether the document has anything at this place.
    pub fn there(&self) -> bool {
        self.v.is_some()
    }

    /// A member as it stands.
    pub fn raw(&self, k: &str) -> Option<&'a Value> {
        self.v?.pointer([k])
    }

    /// The place of a member, as a JSON pointer.
    pub fn path(&self, k: &str) -> String {
        format!("{}/{}", self.at, esc(k))
    }

    /// A member that must be an object.
    pub fn sub(&self, k: &str, out: &mut Vec<ConfigError>) -> Read<'a> {
        Read { at: self.path(k), v: self.raw(k) }.typed(out)
    }

    /// All members, each of which must be an object.
    pub fn each(&self, out: &mut Vec<ConfigError>) -> Vec<(String, Read<'a>)> {
        let Some(o) = self.v.and_then(|v| v.as_object()) else { return Vec::new() };
        o.iter().map(|(k, v)| (k.to_owned(), Read { at: self.path(k), v: Some(v) }.typed(out))).collect()
    }

    /// Notes each member that is not among the known ones.
    pub fn only(&self, known: &[&str], out: &mut Vec<ConfigError>) {
        let Some(o) = self.v.and_then(|v| v.as_object()) else { return };
        for k in names(o) {
            if !known.contains(&k.as_str()) {
                out.push(ConfigError::Unknown { at: self.path(&k), known: known.join(", ") });
            }
        }
    }

    /// A whole number within these bounds.
    pub fn num(&self, k: &str, lo: u64, hi: u64, out: &mut Vec<ConfigError>) -> Option<u64> {
        let v = self.raw(k)?;
        match v.as_u64() {
            Some(n) if (lo..=hi).contains(&n) => Some(n),
            _ => {
                out.push(wrong(&self.path(k), v, &format!("a whole number from {lo} to {hi}")));
                None
            }
        }
    }

    /// A number in thousandths, within bounds that are thousandths too.
    pub fn milli(&self, k: &str, lo: u64, hi: u64, out: &mut Vec<ConfigError>) -> Option<u64> {
        let v = self.raw(k)?;
        match v.as_f64().map(|n| (n * 1000.0).round()) {
            // Nothing within the bounds loses a digit.
            #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, clippy::cast_precision_loss)]
            Some(n) if n >= lo as f64 && n <= hi as f64 => Some(n as u64),
            _ => {
                let want = format!("a number from {} to {}", lo as f64 / 1000.0, hi as f64 / 1000.0);
                out.push(wrong(&self.path(k), v, &want));
                None
            }
        }
    }

    /// True or false.
    pub fn flag(&self, k: &str, out: &mut Vec<ConfigError>) -> Option<bool> {
        let v = self.raw(k)?;
        if v.as_bool().is_none() {
            out.push(wrong(&self.path(k), v, "true or false"));
        }
        v.as_bool()
    }

    /// A string.
    pub fn text(&self, k: &str, out: &mut Vec<ConfigError>) -> Option<&'a str> {
        let v = self.raw(k)?;
        let s = v.as_str().filter(|s| !s.is_empty() && s.len() <= 512);
        if s.is_none() {
            out.push(wrong(&self.path(k), v, "a text of 1 to 512 bytes"));
        }
        s
    }

    /// Whole numbers by name.
    pub fn weights(&self, hi: u32, out: &mut Vec<ConfigError>) -> Vec<(String, u32)> {
        let Some(o) = self.v.and_then(|v| v.as_object()) else { return Vec::new() };
        let ks = names(o);
        ks.into_iter()
            .filter_map(|k| {
                let n = self.num(&k, 0, u64::from(hi), out)?;
                Some((k, u32::try_from(n).unwrap_or(hi)))
            })
            .collect()
    }

    /// A list of strings.
    pub fn texts(&self, k: &str, out: &mut Vec<ConfigError>) -> Option<Vec<&'a str>> {
        let v = self.raw(k)?;
        let Some(a) = v.as_array() else {
            out.push(wrong(&self.path(k), v, "a list of texts"));
            return None;
        };
        let mut o = Vec::with_capacity(a.len());
        for (i, x) in a.iter().enumerate() {
            match x.as_str().filter(|s| !s.is_empty() && s.len() <= 512) {
                Some(s) => o.push(s),
                None => out.push(wrong(&format!("{}/{i}", self.path(k)), x, "a text of 1 to 512 bytes")),
            }
        }
        Some(o)
    }
}

fn names(o: &Object) -> Vec<String> {
    o.iter().map(|(k, _)| k.to_owned()).collect()
}

/// The trouble that a value is of another type than is wanted.
pub fn wrong(at: &str, v: &Value, want: &str) -> ConfigError {
    let is = match v.get_type() {
        JsonType::Null => "null".to_owned(),
        JsonType::Object => "an object".to_owned(),
        JsonType::Array => "a list".to_owned(),
        _ => {
            let mut s = v.to_string();
            if s.len() > 40 {
                s = s.chars().take(40).collect::<String>() + "…";
            }
            s
        }
    };
    ConfigError::Wrong { at: at.to_owned(), is, want: want.to_owned() }
}
