//! Validation of changes: documents, patches and lists of voters.

use crate::base::Micros;
use crate::config::{CompiledConfig, ConfigError, Patch};
use crate::node::Node;
use crate::protocol::{Change, ChangeOutcome, LogEntry, Voter};
use std::collections::BTreeSet;

/// The maximum size of the body of a change, in bytes: two bodies of this size fit into one frame between
/// nodes.
pub const MAX_BODY_BYTES: usize = 7 << 20;

/// Joins all errors of a configuration into one line.
fn join_errors(errors: &[ConfigError]) -> String {
    errors.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ")
}

impl Node {
    /// Returns why a change cannot be admitted, whatever the state of the fleet. A change of voters is
    /// validated only when a ballot for it may start, see [`Node::voter_change_rejection`].
    pub(super) fn change_error(&self, change: &Change, base: u64) -> Option<String> {
        if let Some(error) = change.nesting_error() {
            return Some(error.to_string());
        }
        match change {
            Change::Tree(body) => self.parse_config(body).err(),
            Change::Document(body) => match self.parse_config(body) {
                Ok(config) if config.revision <= base => {
                    Some(format!("/revision: {} is not above {base}, which it is built on; count on", config.revision))
                }
                parsed => parsed.err(),
            },
            Change::Patch(patch) => self.patch_error(patch, base),
            Change::Voters(_) | Change::QueryOutcome | Change::ReadHistory | Change::ReadNewest => None,
        }
    }

    /// Compiles the configuration of a body; the error holds all of its errors in one line.
    pub(super) fn parse_config(&self, body: &str) -> Result<CompiledConfig, String> {
        if body.len() > MAX_BODY_BYTES {
            return Err(format!("the configuration has {} bytes; make it {MAX_BODY_BYTES} at most", body.len()));
        }
        (self.settings.config_reader)(body).map_err(|errors| join_errors(&errors))
    }

    /// Returns why a patch is invalid: by itself or, if its base is the newest revision, in the resulting
    /// document.
    fn patch_error(&self, patch: &Patch, base: u64) -> Option<String> {
        if patch.number <= base {
            return Some(format!(
                "/{}: {} is not above {base}, which it is built on; count on",
                patch.number_at, patch.number
            ));
        }
        let errors = patch.validation_errors();
        if !errors.is_empty() {
            return Some(join_errors(&errors));
        }
        let newest = self.consensus.state.newest().filter(|entry| entry.revision == base)?;
        self.apply_patch(newest, patch).err()
    }

    /// Applies a patch to this entry; returns the new body and its compiled configuration.
    pub(super) fn apply_patch(&self, entry: &LogEntry, patch: &Patch) -> Result<(String, CompiledConfig), String> {
        let body = patch.apply(&entry.body).map_err(|errors| join_errors(&errors))?;
        let config = self.parse_config(&body)?;
        Ok((body, config))
    }

    /// Returns the number that the base of a change is compared with: documents and patches are built on a
    /// revision, all other changes on a version.
    pub(super) fn current_base(&self, change: &Change) -> Option<u64> {
        match change {
            Change::Document(_) | Change::Patch(_) => self.consensus.state.newest().map(|entry| entry.revision),
            _ => self.version(),
        }
    }

    /// Returns why a change of voters cannot be proposed now. The voters are compared with the set that they
    /// would replace, so this is meaningful only if the change's base is the newest version.
    pub(super) fn voter_change_rejection(&self, change: &Change, now: Micros) -> Option<ChangeOutcome> {
        let Change::Voters(voters) = change else { return None };
        self.voter_change_error(voters, now).map(|reason| ChangeOutcome::Invalid { reason })
    }

    /// Returns why a set of voters is invalid: at most one voter may be added and one removed at a time, and
    /// the added voter must be a live core.
    fn voter_change_error(&self, voters: &[Voter], now: Micros) -> Option<String> {
        let current = self.consensus.state.voters();
        let node_ids: BTreeSet<_> = voters.iter().map(|voter| voter.node_id).collect();
        let is_current = |voter: &&Voter| current.iter().any(|other| other.node_id == voter.node_id);
        let added: Vec<_> = voters.iter().filter(|voter| !is_current(voter)).collect();
        let removed = current.iter().filter(|voter| !node_ids.contains(&voter.node_id)).count();
        if voters.is_empty() || node_ids.len() != voters.len() {
            return Some("/cores: name each core once, and at least one".into());
        }
        if added.len() > 1 || removed > 1 {
            return Some("/cores: replace, add or remove one core at a time".into());
        }
        let missing = added.into_iter().find(|voter| !self.is_live_core(voter, now))?;
        Some(format!(
            "/cores: {} is not a running core at {}; start it and look at /v1/nodes",
            missing.node_id, missing.addr
        ))
    }

    /// Returns whether a live core is known with this identifier and address.
    fn is_live_core(&self, voter: &Voter, now: Micros) -> bool {
        let peers = &self.dissemination.peers;
        peers.is_alive(voter.node_id, now)
            && peers
                .entries
                .get(&voter.node_id)
                .is_some_and(|peer| peer.record.is_core && peer.record.addr == voter.addr)
    }
}
