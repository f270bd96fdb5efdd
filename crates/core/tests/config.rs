//! Validation of configuration documents. Each file in `cases/config` contains a document and the expected errors.

use datatest_stable::Result;
use sonic_rs::{JsonContainerTrait, JsonValueTrait, Value};
use std::path::Path;
use sumacvale_core::config::{ConfigError, validate};

fn validation_gives_the_expected_errors(path: &Path) -> Result<()> {
    let case: Value = sonic_rs::from_str(&std::fs::read_to_string(path)?)?;
    let mut expected = expected_errors(&case)?;
    let mut actual: Vec<String> = match validate(&document(&case)?) {
        Ok(_) => Vec::new(),
        Err(errors) => errors.iter().map(summary).collect(),
    };
    expected.sort();
    actual.sort();
    if expected != actual {
        return Err(format!("expected {expected:?}\n  actual {actual:?}").into());
    }
    Ok(())
}

/// Returns the document of a case: `text` verbatim (which may be invalid JSON), or else `tree`.
fn document(case: &Value) -> Result<String> {
    match case.pointer(["text"]).and_then(|text| text.as_str()) {
        Some(text) => Ok(text.to_owned()),
        None => Ok(sonic_rs::to_string(case.pointer(["tree"]).ok_or("no tree")?)?),
    }
}

/// Returns the expected errors of a case, each as its code and JSON pointer.
fn expected_errors(case: &Value) -> Result<Vec<String>> {
    let errors = case.pointer(["troubles"]).and_then(|list| list.as_array()).ok_or("no troubles")?;
    Ok(errors.iter().filter_map(|error| error.as_str().map(str::to_owned)).collect())
}

fn summary(error: &ConfigError) -> String {
    format!("{} {}", error.code(), error.pointer()).trim_end().to_owned()
}

datatest_stable::harness! {
    { test = validation_gives_the_expected_errors, root = "cases/config", pattern = r"\.json$" }
}
