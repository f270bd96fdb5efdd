//! The state report of a node, the response of `/v1/beliefs`.

use sonic_rs::{JsonContainerTrait, JsonValueTrait, Value};
use std::collections::BTreeMap;
use sumacvale_core::json::parse as parse_json;

/// The state report of one node: what the node knows of the fleet.
pub struct StateReport {
    json: Value,
}

impl StateReport {
    /// Parses the body of the response.
    ///
    /// # Errors
    /// The remedy, where the body is no state report.
    pub fn read(body: &[u8]) -> Result<StateReport, String> {
        let json = std::str::from_utf8(body)
            .ok()
            .and_then(|text| parse_json(text).ok())
            .ok_or("the response is not JSON; use the sumacvale-compare of the node's release")?;
        if json.pointer(["nodes"]).is_none() {
            return Err("the response contains no nodes; use the sumacvale-compare of the node's release".into());
        }
        Ok(StateReport { json })
    }

    /// Returns a top-level member as text, or `none` where it is missing.
    pub fn member(&self, name: &str) -> String {
        self.json
            .pointer([name])
            .map_or_else(|| "none".into(), |value| value.as_str().map_or_else(|| value.to_string(), str::to_owned))
    }

    /// Returns the version of the configuration in force.
    pub fn version(&self) -> String {
        self.member("version")
    }

    /// Returns one field of each row of a list, by the key of the row.
    pub fn rows(&self, list: &str, key: &str, field: &str) -> BTreeMap<String, String> {
        let text = |row: &Value, name: &str| {
            row.pointer([name]).map(|value| value.as_str().map_or_else(|| value.to_string(), str::to_owned))
        };
        self.json
            .pointer([list])
            .and_then(|value| value.as_array())
            .map(|rows| rows.iter().filter_map(|row| Some((text(row, key)?, text(row, field)?))).collect())
            .unwrap_or_default()
    }

    /// Returns the admin addresses of the other nodes that this node reports as alive.
    pub fn live_peer_admin_addrs(&self) -> Vec<String> {
        let own_id = self.member("id");
        let alive = self.rows("nodes", "id", "alive");
        self.rows("nodes", "id", "admin")
            .into_iter()
            .filter(|(node_id, _)| *node_id != own_id && alive.get(node_id).is_some_and(|is_alive| is_alive == "true"))
            .map(|row| row.1)
            .collect()
    }
}
