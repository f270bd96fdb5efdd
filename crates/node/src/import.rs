//! Matches from an `OpenAPI` file: a beginning for an operator, printed and not applied.

use openapiv3::{OpenAPI, Operation, ReferenceOr};
use serde_json::{Map, Value, json};
use sumacvale_core::config::validate;

/// A tree with the pool and a match for each operation, and what was left out.
pub fn import(text: &str, pool: &str) -> Result<(String, Vec<String>), String> {
    let api: OpenAPI =
        serde_json::from_str(text).map_err(|e| format!("no OpenAPI 3 file in JSON: {e}; convert it first"))?;
    let (mut ms, mut out) = (Map::new(), Vec::new());
    for (path, item) in &api.paths.paths {
        let ReferenceOr::Item(item) = item else {
            out.push(format!("{path}: is a reference; write it out in the file"));
            continue;
        };
        for (method, op) in item.iter() {
            let m = method.to_uppercase();
            if !["GET", "POST", "PUT", "PATCH", "DELETE"].contains(&m.as_str()) {
                out.push(format!("{m} {path}: this method is not served"));
                continue;
            }
            ms.insert(name(op, method, path), one(op, &m, path, pool));
        }
    }
    let tree = json!({ "pools": { pool: {} }, "matches": ms });
    let s = serde_json::to_string_pretty(&tree).map_err(|e| e.to_string())?;
    validate(&s).map_err(|v| v.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))?;
    Ok((s, out))
}

fn name(op: &Operation, method: &str, path: &str) -> String {
    op.operation_id.clone().unwrap_or_else(|| format!("{method}{}", path.replace('/', "-")))
}

/// What HTTP says of a method goes for its match: GET may be repeated.
fn one(op: &Operation, method: &str, path: &str, pool: &str) -> Value {
    let mut v = json!({ "path": path, "method": method, "pool": pool });
    if method == "GET" {
        v["kind"] = json!("lookup");
        v["repeat"] = json!(true);
    }
    for (from, to) in [("x-kind", "kind"), ("x-repeat", "repeat"), ("x-resume", "resume"), ("x-prompt", "prompt")] {
        if let Some(x) = op.extensions.get(from) {
            v[to] = x.clone();
        }
    }
    v
}
