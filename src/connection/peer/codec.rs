//! The encoding of messages between hosts, with a limit on their size.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::connection::codec;

/// The largest encoded message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// The largest decoded message, in bytes. A `u128` takes 16 bytes in memory and may take one when encoded.
const DECODE_LIMIT: usize = 16 * MAX_MESSAGE_BYTES;

/// Encodes a message of at most `MAX_MESSAGE_BYTES`.
///
/// # Errors
/// Returns the cause if the message is larger than `MAX_MESSAGE_BYTES`.
pub fn encode(message: &impl Serialize) -> Result<Vec<u8>, String> {
    let bytes = codec::encode(message)?;
    check_size(&bytes)?;
    Ok(bytes)
}

/// Decodes a message that must fill `bytes` exactly.
///
/// # Errors
/// Returns the cause if the message is malformed, truncated, too large or followed by other bytes.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, String> {
    check_size(bytes)?;
    codec::decode_exactly::<T, DECODE_LIMIT>(bytes)
}

fn check_size(bytes: &[u8]) -> Result<(), String> {
    if bytes.len() <= MAX_MESSAGE_BYTES {
        return Ok(());
    }
    let size = bytes.len();
    Err(format!(
        "message of {size} bytes exceeds {MAX_MESSAGE_BYTES}"
    ))
}
