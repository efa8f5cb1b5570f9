//! The encoding of records in the platform's store.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::connection::codec;
use crate::process::store::MAX_VALUE_BYTES;

/// The first byte of each record, which tells the format of the rest.
const FORMAT_VERSION: u8 = 1;

/// Encodes a record, preceded by its format version.
pub fn encode_record(record: &impl Serialize) -> Vec<u8> {
    let mut buf = vec![FORMAT_VERSION];
    // Encoding into memory fails only for sequences of unknown length, which records don't have.
    buf.extend(codec::encode(record).unwrap_or_default());
    buf
}

/// Decodes a record written by `encode_record`.
///
/// # Errors
/// Returns the cause if the record is empty, malformed or in another format.
pub fn decode_record<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, String> {
    let (&format, body) = bytes.split_first().ok_or("it is empty")?;
    if format != FORMAT_VERSION {
        return Err(format!("its format is {format}, not {FORMAT_VERSION}"));
    }
    codec::decode_exactly::<T, MAX_VALUE_BYTES>(body)
}
