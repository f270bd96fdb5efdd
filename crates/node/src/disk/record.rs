//! Records of the database: encoded values, each followed by its checksum.
//!
//! The order of the fields is part of the format on disk; their names are not.

use musli::{Decode, Encode};
use sumacvale_core::base::hash64;
use sumacvale_core::protocol::{Ballot, LogEntry, Voter};

/// Length of the checksum in bytes: `hash64` of the encoded value, little-endian.
const CHECKSUM_BYTES: usize = 8;

/// Record `promise` of the table `vote`: the highest ballot that this voter promised.
#[derive(Encode, Decode)]
pub(super) struct StoredPromise {
    /// The log index for which the ballot was promised.
    pub(super) instance: u64,
    pub(super) ballot: Ballot,
}

/// Record `accept` of the table `vote`: the last proposal that this voter accepted.
#[derive(Encode, Decode)]
pub(super) struct StoredAccept {
    pub(super) ballot: Ballot,
    pub(super) entry: LogEntry,
}

/// Record `pledge` of the table `vote`: the set of voters that this core voted for at bootstrap.
#[derive(Encode, Decode)]
pub(super) struct StoredBootstrapVote {
    pub(super) voters: Vec<Voter>,
}

/// Encodes a value and appends its checksum.
pub(super) fn encode<T: Encode<musli::mode::Binary>>(value: &T) -> Result<Vec<u8>, rusqlite::Error> {
    let mut bytes = musli::wire::to_vec(value)
        .map_err(|error| rusqlite::Error::ToSqlConversionFailure(error.to_string().into()))?;
    let checksum = hash64(&bytes);
    bytes.extend(checksum.to_le_bytes());
    Ok(bytes)
}

/// Decodes a value written by [`encode`]; returns `None` where it doesn't match its checksum.
pub(super) fn decode<T>(bytes: &[u8]) -> Option<T>
where
    T: for<'a> Decode<'a, musli::mode::Binary, musli::alloc::Global>,
{
    let (value, checksum) = bytes.split_at_checked(bytes.len().saturating_sub(CHECKSUM_BYTES))?;
    if checksum != hash64(value).to_le_bytes() {
        return None;
    }
    musli::wire::from_slice(value).ok()
}
