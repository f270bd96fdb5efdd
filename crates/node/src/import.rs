//! Generates a configuration from an `OpenAPI` file, as a starting point that is printed and not applied.

use openapiv3::{OpenAPI, Operation, ReferenceOr};
use serde_json::{Map, Value, json};
use sumacvale_core::config::validate;

/// Generates a configuration document with one pool and a match for each operation. Also returns a message for
/// each path or operation that was skipped.
///
/// # Errors
/// A message if the text is no `OpenAPI` 3 file in JSON or the generated document is invalid.
pub fn generate_config(text: &str, pool: &str) -> Result<(String, Vec<String>), String> {
    let api: OpenAPI = serde_json::from_str(text)
        .map_err(|e| format!("not an OpenAPI 3 file in JSON: {e}; convert the file first"))?;
    let (mut matches, mut skipped) = (Map::new(), Vec::new());
    for (path, item) in &api.paths.paths {
        let ReferenceOr::Item(item) = item else {
            skipped.push(format!("{path}: references are not supported; inline the path item in the file"));
            continue;
        };
        for (method, operation) in item.iter() {
            let upper_method = method.to_uppercase();
            if !["GET", "POST", "PUT", "PATCH", "DELETE"].contains(&upper_method.as_str()) {
                skipped.push(format!("{upper_method} {path}: method is not supported"));
                continue;
            }
            matches.insert(match_name(operation, method, path), match_settings(operation, &upper_method, path, pool));
        }
    }
    let document = json!({ "pools": { pool: {} }, "matches": matches });
    let document_text = serde_json::to_string_pretty(&document).map_err(|e| e.to_string())?;
    validate(&document_text).map_err(|errors| errors.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))?;
    Ok((document_text, skipped))
}

/// Returns the name of the match: the operation id, or else the method and the path.
fn match_name(operation: &Operation, method: &str, path: &str) -> String {
    operation.operation_id.clone().unwrap_or_else(|| format!("{method}{}", path.replace('/', "-")))
}

/// Returns the settings of the match for an operation. GET is idempotent by HTTP, so its match may be retried.
fn match_settings(operation: &Operation, method: &str, path: &str, pool: &str) -> Value {
    let mut settings = json!({ "path": path, "method": method, "pool": pool });
    if method == "GET" {
        settings["kind"] = json!("lookup");
        settings["repeat"] = json!(true);
    }
    for (extension, setting) in
        [("x-kind", "kind"), ("x-repeat", "repeat"), ("x-resume", "resume"), ("x-prompt", "prompt")]
    {
        if let Some(value) = operation.extensions.get(extension) {
            settings[setting] = value.clone();
        }
    }
    settings
}
