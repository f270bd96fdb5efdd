//! Each file in `cases/config` holds a tree and the troubles it must be answered with.

use sonic_rs::{JsonContainerTrait, JsonValueTrait, Value};
use std::path::Path;
use sumacvale_core::config::validate;

fn case(p: &Path) -> datatest_stable::Result<()> {
    let s = std::fs::read_to_string(p)?;
    let v: Value = sonic_rs::from_str(&s)?;
    let body = match v.pointer(["text"]).and_then(|t| t.as_str()) {
        Some(t) => t.to_owned(),
        None => sonic_rs::to_string(v.pointer(["tree"]).ok_or("no tree")?)?,
    };
    let mut want: Vec<String> = v
        .pointer(["troubles"])
        .and_then(|t| t.as_array().map(|a| a.iter().filter_map(|x| x.as_str().map(str::to_owned)).collect()))
        .ok_or("no troubles")?;
    let mut got: Vec<String> = match validate(&body) {
        Ok(_) => Vec::new(),
        Err(v) => v.iter().map(|t| format!("{} {}", t.code(), t.at()).trim_end().to_owned()).collect(),
    };
    want.sort();
    got.sort();
    if want != got {
        return Err(format!("want {want:?}\n got {got:?}").into());
    }
    Ok(())
}

datatest_stable::harness! { { test = case, root = "cases/config", pattern = r"\.json$" } }
