//! The binary encoding of messages and records: `bincode` 2 in its standard configuration.

use serde::Serialize;
use serde::de::DeserializeOwned;

/// Encodes a message or record of any size.
///
/// # Errors
/// Returns the cause if the type can't be serialized; plain data always can.
pub fn encode(message: &impl Serialize) -> Result<Vec<u8>, String> {
    bincode::serde::encode_to_vec(message, bincode::config::standard()).map_err(|e| e.to_string())
}

/// Decodes a message that must fill `bytes` exactly. `LIMIT` is the largest decoded size in bytes; without it, a forged
/// length field could make the decoder allocate without bound.
///
/// # Errors
/// Returns the cause if the message is malformed, truncated, too large or followed by other bytes.
pub fn decode_exactly<T: DeserializeOwned, const LIMIT: usize>(bytes: &[u8]) -> Result<T, String> {
    let (message, rest) = decode_first::<T, LIMIT>(bytes)?;
    if rest.is_empty() {
        Ok(message)
    } else {
        Err(format!("{} bytes follow its end", rest.len()))
    }
}

/// Decodes the message at the start of `bytes`, of at most `LIMIT` decoded bytes. Returns it with the bytes that follow.
///
/// # Errors
/// Returns the cause if the message is malformed, truncated or too large.
pub fn decode_first<T: DeserializeOwned, const LIMIT: usize>(
    bytes: &[u8],
) -> Result<(T, &[u8]), String> {
    let config = bincode::config::standard().with_limit::<LIMIT>();
    let (message, used) =
        bincode::serde::decode_from_slice(bytes, config).map_err(|e| e.to_string())?;
    Ok((message, &bytes[used..]))
}
