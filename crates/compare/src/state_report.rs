use sonic_rs::{JsonContainerTrait, JsonValueTrait, Value};
use std::collections::BTreeMap;

/// What one node believes, as it told it.
pub struct StateReport {
    v: Value,
}

impl StateReport {
    pub fn read(b: &[u8]) -> Result<StateReport, String> {
        let v: Value = sonic_rs::from_slice(b)
            .map_err(|_| "its answer can't be read; use the sumacvale-compare of its release".to_owned())?;
        if v.pointer(["nodes"]).is_none() {
            return Err("its answer holds no nodes; use the sumacvale-compare of its release".into());
        }
        Ok(StateReport { v })
    }

    pub fn one(&self, k: &str) -> String {
        self.v.pointer([k]).map_or_else(|| "none".into(), |x| x.as_str().map_or_else(|| x.to_string(), str::to_owned))
    }

    pub fn version(&self) -> String {
        self.one("version")
    }

    /// The rows of a list by their key, each with one of its fields.
    pub fn rows(&self, list: &str, key: &str, field: &str) -> BTreeMap<String, String> {
        let text = |x: &Value, k: &str| x.pointer([k]).map(|y| y.as_str().map_or_else(|| y.to_string(), str::to_owned));
        self.v
            .pointer([list])
            .and_then(|l| l.as_array())
            .map(|a| a.iter().filter_map(|x| Some((text(x, key)?, text(x, field)?))).collect())
            .unwrap_or_default()
    }

    /// The admin addresses of the other nodes that it takes for living.
    pub fn others(&self) -> Vec<String> {
        let me = self.one("id");
        let alive = self.rows("nodes", "id", "alive");
        self.rows("nodes", "id", "admin")
            .into_iter()
            .filter(|(n, _)| *n != me && alive.get(n).is_some_and(|a| a == "true"))
            .map(|x| x.1)
            .collect()
    }
}
