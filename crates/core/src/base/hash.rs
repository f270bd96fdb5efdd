//! Hash functions: XXH3 for shards and rendezvous hashing, SHA-256 for secrets.

use sha2::{Digest, Sha256};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Returns the 64-bit XXH3 hash, which is the same on all nodes. Not for secrets.
#[must_use]
pub fn hash64(bytes: &[u8]) -> u64 {
    xxh3_64(bytes)
}

/// Returns the weight of a candidate for a key. The candidate with the highest weight is chosen
/// (Thaler and Ravishankar, "A Name-Based Mapping Scheme for Rendezvous").
#[must_use]
pub fn rendezvous_weight(id: u64, key: &[u8]) -> u64 {
    xxh3_64_with_seed(key, id)
}

/// Returns the SHA-256 hash as 64 lower-case hexadecimal digits: the only form in which a token or a
/// tenant's key is stored.
#[must_use]
pub fn sha256_hex(secret: &[u8]) -> String {
    let mut hex = String::with_capacity(64);
    for byte in Sha256::digest(secret) {
        for digit in [byte >> 4, byte & 15] {
            hex.push(char::from_digit(u32::from(digit), 16).unwrap_or('0'));
        }
    }
    hex
}
