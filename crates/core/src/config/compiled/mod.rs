//! The configuration compiled from a document, in which a node looks up each call.
//!
//! A [`CompiledConfig`] is immutable: a new version replaces it as a whole, so a call that holds one
//! uses the same version until the call ends.

mod effective;
mod limits;
mod pool;
mod route;
mod tenant;

pub use effective::effective_settings;
pub use limits::{QuotaLimit, QuotaMeasure, Rate, WindowQuota};
pub use pool::{PlacementWeights, Pool};
pub use route::{Match, RevocationPolicy, TrafficKind};
pub use tenant::Tenant;

use super::check::{ConfigError, validate};
use crate::base::Version;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// Compiles an operator's document, directly or after translation from another document format.
pub type ConfigReader = fn(&str) -> Result<CompiledConfig, Vec<ConfigError>>;

/// One immutable version of the configuration, compiled for lookups.
#[derive(Clone, Debug, Default)]
pub struct CompiledConfig {
    /// The version that consensus assigned to the document.
    pub version: Version,
    /// The operator's revision number of the document; 0 if it has none.
    pub revision: u64,
    /// The pools by name.
    pub pools: BTreeMap<String, Pool>,
    /// The matches by name.
    pub matches: BTreeMap<String, Arc<Match>>,
    /// The matches with a path, by method and by path pattern.
    pub paths: BTreeMap<String, matchit::Router<Arc<Match>>>,
    /// The matches with a path prefix, by host (`None` for every host) and by prefix.
    pub path_prefixes: HashMap<Option<String>, HashMap<String, Arc<Match>>>,
    /// The tenants by name.
    pub tenants: BTreeMap<String, Arc<Tenant>>,
    /// The name of the tenant that owns a key, by the hex digits of the key's SHA-256 hash.
    pub keys: BTreeMap<String, String>,
}

impl CompiledConfig {
    /// Compiles a document that was validated before it was decided. An invalid document gives an empty
    /// configuration.
    pub fn compile(version: u64, document: &str) -> CompiledConfig {
        CompiledConfig::compile_with(validate, version, document)
    }

    /// Compiles a document with `reader`. An invalid document gives an empty configuration.
    pub fn compile_with(reader: ConfigReader, version: u64, document: &str) -> CompiledConfig {
        let mut config = reader(document).unwrap_or_default();
        config.version = version;
        config
    }

    /// Finds the match of a call: first by path pattern, then by the longest path prefix of the
    /// call's host, then by the longest path prefix of matches for every host.
    pub fn find_match(&self, method: &str, host: &str, path: &str) -> Option<&Arc<Match>> {
        let exact = self.paths.get(method).and_then(|router| router.at(path).ok()).map(|found| found.value);
        if let Some(found) = exact.filter(|found| found.host.as_deref().is_none_or(|own| own == host)) {
            return Some(found);
        }
        self.find_by_prefix(&Some(host.to_owned()), path).or_else(|| self.find_by_prefix(&None, path))
    }

    // The map has keys of type `Option<String>`.
    #[allow(clippy::ref_option)]
    fn find_by_prefix(&self, host: &Option<String>, path: &str) -> Option<&Arc<Match>> {
        let by_prefix = self.path_prefixes.get(host)?;
        path.rmatch_indices('/').find_map(|(slash, _)| by_prefix.get(&path[..=slash]))
    }

    /// Whether calls need a key. Without tenants no call needs one.
    pub fn requires_key(&self) -> bool {
        !self.tenants.is_empty()
    }

    /// Returns the tenant that owns the key with this SHA-256 hash in hex digits.
    pub fn tenant_of_key(&self, hash: &str) -> Option<&Arc<Tenant>> {
        self.tenants.get(self.keys.get(hash)?)
    }
}
