//! Hashes of bytes.

use sha2::{Digest, Sha256};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// A hash of 64 bits, the same on all nodes.
pub fn hash64(b: &[u8]) -> u64 {
    xxh3_64(b)
}

/// The weight of `id` for `key`: the highest weight is nominated.
pub fn rendezvous_weight(id: u64, key: &[u8]) -> u64 {
    xxh3_64_with_seed(key, id)
}

/// The only form in which a token or a tenant key is kept.
pub fn sha256_hex(s: &[u8]) -> String {
    let d = Sha256::digest(s);
    let mut o = String::with_capacity(64);
    for b in d {
        for n in [b >> 4, b & 15] {
            o.push(char::from_digit(u32::from(n), 16).unwrap_or('0'));
        }
    }
    o
}
