//! Reading JSON text of any nesting depth within a small, fixed part of the stack.
//!
//! The parser of the JSON library recurses once for each level of objects and lists, so text from outside
//! must not reach it before its depth is bounded. Text of up to [`MAX_PARSED_DEPTH`] levels is parsed as it
//! is. Deeper text is masked first: each object or list below that level is checked for valid syntax in
//! parts that the parser can take, and replaced by an empty list. No format that is read here has members at
//! such a depth, so masking changes nothing that is read.

use displaydoc::Display;
use sonic_rs::Value;
use std::borrow::Cow;

/// The maximum nesting depth of the text that the JSON library parses at once, in levels.
pub const MAX_PARSED_DEPTH: usize = 64;
/// The maximum nesting depth of text that is read at all, in levels.
pub const MAX_DEPTH: usize = 32_768;

/// What a masked object or list is replaced by. A bracket, unlike a number, never continues the token before it.
const EMPTY_LIST: &[u8] = b"[]";

/// Why text can't be read as JSON.
#[derive(Clone, Debug, PartialEq, Eq, Display, thiserror::Error)]
pub enum JsonError {
    /// {0}
    Syntax(String),
    /// an object or a list is not closed
    Unterminated,
    /// an object or a list is closed that was not opened
    Unbalanced,
    /// it is nested deeper than {max_depth} levels
    TooDeep {
        /// How many levels of objects and lists are read.
        max_depth: usize,
    },
}

impl From<sonic_rs::Error> for JsonError {
    /// Keeps the first line of the library's description; the others quote the text.
    fn from(error: sonic_rs::Error) -> Self {
        JsonError::Syntax(error.to_string().lines().next().unwrap_or("unreadable").to_owned())
    }
}

/// JSON text whose levels below [`MAX_PARSED_DEPTH`] are masked, so that the JSON library can parse it.
#[derive(Clone, Debug)]
pub struct BoundedJson<'a> {
    original: &'a str,
    masked: Cow<'a, str>,
}

impl<'a> BoundedJson<'a> {
    /// Masks the deep levels of `text`.
    ///
    /// # Errors
    /// A syntax error in a deep level, or too many levels. The syntax of the other levels is not checked.
    pub fn new(text: &'a str) -> Result<Self, JsonError> {
        let masked = match mask_deep_levels(text.as_bytes())? {
            Cow::Borrowed(_) => Cow::Borrowed(text),
            Cow::Owned(bytes) => {
                Cow::Owned(String::from_utf8(bytes).map_err(|error| JsonError::Syntax(error.to_string()))?)
            }
        };
        Ok(BoundedJson { original: text, masked })
    }

    /// Returns the masked text, as long as the original text.
    pub fn masked(&self) -> &str {
        &self.masked
    }

    /// Parses the masked text.
    ///
    /// # Errors
    /// The first syntax error.
    pub fn parse(&self) -> Result<Value, JsonError> {
        Ok(sonic_rs::from_str(self.masked())?)
    }

    /// Returns the original text at the place of `part`, a slice of the masked text; empty if `part` is none.
    pub fn original_of(&self, part: &str) -> &'a str {
        let start = (part.as_ptr() as usize).wrapping_sub(self.masked.as_ptr() as usize);
        let end = start.wrapping_add(part.len());
        self.original.get(start..end).unwrap_or_default()
    }
}

/// Parses JSON text of any depth, whose deep levels are masked.
///
/// # Errors
/// The first syntax error, or too many levels.
pub fn parse(text: &str) -> Result<Value, JsonError> {
    BoundedJson::new(text)?.parse()
}

/// Returns the maximum nesting depth of objects and lists, without parsing.
pub fn nesting_depth(text: &[u8]) -> usize {
    let mut scanner = BracketScanner::default();
    let (mut depth, mut deepest) = (0usize, 0);
    for byte in text {
        match scanner.bracket(*byte) {
            Some(Bracket::Open) => {
                depth += 1;
                deepest = deepest.max(depth);
            }
            Some(Bracket::Close) => depth = depth.saturating_sub(1),
            None => {}
        }
    }
    deepest
}

/// Returns text of the same length in which each object or list below level [`MAX_PARSED_DEPTH`] is replaced
/// by an empty list and spaces.
///
/// # Errors
/// A syntax error in a deep level, or too many levels. The syntax of the other levels is not checked.
pub fn mask_deep_levels(text: &[u8]) -> Result<Cow<'_, [u8]>, JsonError> {
    let depth = nesting_depth(text);
    if depth <= MAX_PARSED_DEPTH {
        return Ok(Cow::Borrowed(text));
    }
    if depth > MAX_DEPTH {
        return Err(JsonError::TooDeep { max_depth: MAX_DEPTH });
    }
    DeepLevelMask::new(text).apply().map(Cow::Owned)
}

/// A bracket outside of strings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Bracket {
    Open,
    Close,
}

/// Finds the brackets of objects and lists, byte by byte.
#[derive(Clone, Copy, Debug, Default)]
struct BracketScanner {
    in_string: bool,
    is_escaped: bool,
}

impl BracketScanner {
    /// Returns the bracket that the next byte of the text is, if any.
    fn bracket(&mut self, byte: u8) -> Option<Bracket> {
        if self.in_string {
            match byte {
                _ if self.is_escaped => self.is_escaped = false,
                b'\\' => self.is_escaped = true,
                b'"' => self.in_string = false,
                _ => {}
            }
            return None;
        }
        match byte {
            b'"' => {
                self.in_string = true;
                None
            }
            b'{' | b'[' => Some(Bracket::Open),
            b'}' | b']' => Some(Bracket::Close),
            _ => None,
        }
    }
}

/// An object or list that begins just below a multiple of [`MAX_PARSED_DEPTH`] levels and is not closed yet.
#[derive(Debug)]
struct OpenLayer {
    /// The position of its opening bracket in the text.
    start: usize,
    /// Its text so far, in which layers below it are replaced by an empty list.
    text: Vec<u8>,
}

/// Masks the deep levels of one text, in time proportional to the length of the text.
struct DeepLevelMask<'a> {
    text: &'a [u8],
    masked: Vec<u8>,
    /// The open layers, the outermost first.
    layers: Vec<OpenLayer>,
}

impl<'a> DeepLevelMask<'a> {
    fn new(text: &'a [u8]) -> Self {
        DeepLevelMask { text, masked: text.to_vec(), layers: Vec::new() }
    }

    fn apply(mut self) -> Result<Vec<u8>, JsonError> {
        let mut scanner = BracketScanner::default();
        let mut depth = 0usize;
        for (position, byte) in self.text.iter().enumerate() {
            let bracket = scanner.bracket(*byte);
            if bracket == Some(Bracket::Open) {
                if is_layer_boundary(depth) {
                    self.layers.push(OpenLayer { start: position, text: Vec::new() });
                }
                depth += 1;
            }
            if let Some(layer) = self.layers.last_mut() {
                layer.text.push(*byte);
            }
            if bracket == Some(Bracket::Close) {
                depth = depth.checked_sub(1).ok_or(JsonError::Unbalanced)?;
                if is_layer_boundary(depth) {
                    self.close_layer(position)?;
                }
            }
        }
        if self.layers.is_empty() { Ok(self.masked) } else { Err(JsonError::Unterminated) }
    }

    /// Checks the innermost layer, which ends at this position, and replaces it by an empty list.
    fn close_layer(&mut self, end: usize) -> Result<(), JsonError> {
        let layer = self.layers.pop().ok_or(JsonError::Unbalanced)?;
        sonic_rs::from_slice::<Value>(&layer.text)?;
        match self.layers.last_mut() {
            Some(outer) => outer.text.extend_from_slice(EMPTY_LIST),
            None => {
                let (masked_list, rest) = self.masked[layer.start..=end].split_at_mut(EMPTY_LIST.len());
                masked_list.copy_from_slice(EMPTY_LIST);
                rest.fill(b' ');
            }
        }
        Ok(())
    }
}

/// Returns whether an object or list that opens at this depth begins a layer.
fn is_layer_boundary(depth: usize) -> bool {
    depth > 0 && depth.is_multiple_of(MAX_PARSED_DEPTH)
}
