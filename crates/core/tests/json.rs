//! Reading JSON text of any depth: on a small stack, with the same errors and the same bytes as shallow text.

use std::fmt::Write;
use sumacvale_core::json::{
    BoundedJson, JsonError, MAX_DEPTH, MAX_PARSED_DEPTH, mask_deep_levels, nesting_depth, parse,
};

/// The stack of the threads that read deep text, in bytes: an eighth of that of the program's threads.
const SMALL_STACK_BYTES: usize = 256 << 10;

/// Runs `read` on a thread with a small stack.
fn on_a_small_stack<T: Send + 'static>(read: impl FnOnce() -> T + Send + 'static) -> T {
    let thread = std::thread::Builder::new().stack_size(SMALL_STACK_BYTES).spawn(read).expect("a thread starts");
    thread.join().expect("the thread ends by itself")
}

/// `levels` lists around `content`.
fn lists(levels: usize, content: &str) -> String {
    format!("{}{content}{}", "[".repeat(levels), "]".repeat(levels))
}

/// `levels` objects and lists by turns around `content`.
fn mixed(levels: usize, content: &str) -> String {
    let mut text = String::new();
    for level in 0..levels {
        text.push_str(if level % 2 == 0 { "{\"a\":" } else { "[" });
    }
    text.push_str(content);
    for level in (0..levels).rev() {
        text.push(if level % 2 == 0 { '}' } else { ']' });
    }
    text
}

/// Guards against a parser that recurses once a level and overflows the stack of the thread that reads.
#[test]
fn text_of_any_depth_is_read_on_a_small_stack() {
    for levels in [1, 63, 64, 65, 128, 129, 1_000, 8_990, MAX_DEPTH] {
        for text in [lists(levels, ""), mixed(levels, "1")] {
            assert_eq!(nesting_depth(text.as_bytes()), levels);
            on_a_small_stack(move || assert!(parse(&text).is_ok(), "{levels} levels"));
        }
        let cut = "[".repeat(levels);
        on_a_small_stack(move || assert!(parse(&cut).is_err(), "{levels} levels, cut short"));
    }
    for text in ["[".repeat(1 << 20), lists(MAX_DEPTH + 1, ""), mixed(1 << 20, "1")] {
        let error = on_a_small_stack(move || parse(&text).expect_err("too deep"));
        assert_eq!(error, JsonError::TooDeep { max_depth: MAX_DEPTH });
    }
}

#[test]
fn shallow_text_is_left_as_it_is() {
    for text in ["", "1", "{\"a\":[1,{}]}", "\"[[[\"", &lists(MAX_PARSED_DEPTH, "1"), "[{]", &"]".repeat(100)] {
        let masked = mask_deep_levels(text.as_bytes()).expect(text);
        assert!(matches!(masked, std::borrow::Cow::Borrowed(bytes) if bytes == text.as_bytes()), "{text}");
    }
}

/// Guards against invalid text that a mask makes valid, and against valid text that it makes invalid.
#[test]
fn errors_are_found_at_every_depth() {
    let valid = ["1", "\"]\"", "\"\\\"]}[{\"", "{\"a\":[]}", "[1,[2],{}]", "-1.5e3", " null ", "[\"\\\\\",\"é\"]", ""];
    let invalid = ["1[]", "{[]:1}", "[1 2]", "{\"a\"}", "tru", "\"", "[}", "[]]", "[[]", "01", "1,", "\"a\"[]", "\\"];
    for levels in (1..200).chain([1_000]) {
        for content in valid {
            let text = lists(levels, content);
            assert!(parse(&text).is_ok(), "{levels} levels around {content}");
        }
        for content in invalid {
            let text = lists(levels, content);
            assert!(parse(&text).is_err(), "{levels} levels around {content}");
        }
    }
}

#[test]
fn parts_of_the_masked_text_lead_to_the_original_text() {
    let deep = mixed(300, "\"kept\"");
    let text = format!("{{\"é\": {deep} ,\"list\":[{deep}, 7 ,\"[\"]}}");
    let bounded = BoundedJson::new(&text).expect("valid");
    assert_eq!(bounded.masked().len(), text.len());
    assert!(nesting_depth(bounded.masked().as_bytes()) <= MAX_PARSED_DEPTH + 1);
    let members: Vec<_> = sonic_rs::to_object_iter(bounded.masked()).map(|member| member.expect("a member")).collect();
    assert_eq!(bounded.original_of(members[0].1.as_raw_str()), deep);
    let items = sonic_rs::to_array_iter(members[1].1.as_raw_str());
    let items: Vec<_> = items.map(|item| bounded.original_of(item.expect("an item").as_raw_str()).to_owned()).collect();
    assert_eq!(items, [deep.as_str(), "7", "\"[\""]);
    assert_eq!(bounded.original_of("elsewhere"), "");
}

/// Reading takes time proportional to the length of the text, whatever its depth: many deep lists in a row
/// and one of the greatest depth around a long text are read here, which takes minutes if each level is read again.
#[test]
fn deep_text_is_read_once() {
    let mut row = String::from("[");
    for index in 0..200 {
        let _ = write!(row, "{}{}", if index == 0 { "" } else { "," }, lists(1_000, "\"text\""));
    }
    row.push(']');
    assert!(parse(&row).is_ok());
    let around = lists(MAX_DEPTH, &format!("\"{}\"", "x".repeat(4 << 20)));
    assert!(parse(&around).is_ok());
}
