//! Keys of callers. Only hashes are stored, compared and logged.

use crate::prelude::*;

/// The prefix of a key hash in the configuration.
const HASH_PREFIX: &str = "blake3:";

/// Hashes a key as presented by a caller.
pub fn hash_key(key: &str) -> Digest {
    blake3::hash(key.as_bytes()).into()
}

/// Formats a key hash as in the configuration document.
pub fn format_hash(hash: &Digest) -> String {
    format!("{HASH_PREFIX}{}", blake3::Hash::from_bytes(*hash).to_hex())
}

/// Parses a key hash of the configuration document; `None` if it is malformed.
pub fn parse_hash(text: &str) -> Option<Digest> {
    let hex = text.strip_prefix(HASH_PREFIX)?;
    blake3::Hash::from_hex(hex).ok().map(Into::into)
}
