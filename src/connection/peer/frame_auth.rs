//! Sequence numbers and keyed hashes of frames.

use blake3::Hash;

/// The bytes of a keyed hash on the wire. Of the 32 bytes, 12 leave a forger one chance in 2^96 for each frame,
/// as the hashes of RFC 2404 do; the rest would be a third of an average frame.
const TAG_BYTES: usize = 12;

/// The low bytes of the sequence number on the wire. The receiver derives the others from the numbers that it has
/// seen, which are never 2^23 apart, and the hash covers the whole number.
const SEQUENCE_BYTES: usize = 3;

/// The numbers that the low bytes can tell apart.
const SEQUENCE_SPAN: u64 = 1 << (8 * SEQUENCE_BYTES);

/// The bytes that a seal adds to a question: the low bytes of its sequence number and the keyed hash.
pub const REQUEST_OVERHEAD_BYTES: usize = SEQUENCE_BYTES + TAG_BYTES;

/// The bytes that a seal adds to an answer, which has the sequence number of its question.
pub const REPLY_OVERHEAD_BYTES: usize = TAG_BYTES;

/// The sequence numbers that may be outstanding below the highest one. Streams finish out of order, so a
/// receiver can't ask for strictly growing numbers; twice the streams of a connection leave room.
const WINDOW: u64 = 2048;

/// Why a frame was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VerifyError {
    /// It is too short to hold a seal.
    Truncated,
    /// The hash does not match.
    Forged,
}

/// Seals a question under `key` with a sequence number.
pub fn sign_request(key: &[u8; 32], sequence: u64, payload: &[u8]) -> Vec<u8> {
    let mut frame = Vec::with_capacity(REQUEST_OVERHEAD_BYTES + payload.len());
    frame.extend_from_slice(&sequence.to_le_bytes()[..SEQUENCE_BYTES]);
    frame.extend_from_slice(&tag(key, sequence, payload));
    frame.extend_from_slice(payload);
    frame
}

/// Checks a question's seal and returns sequence number and payload. `near` is the highest number seen so far.
///
/// # Errors
/// Returns a `VerifyError` if the frame was not sealed under `key`.
pub fn verify_request<'a>(
    key: &[u8; 32],
    near: u64,
    frame: &'a [u8],
) -> Result<(u64, &'a [u8]), VerifyError> {
    let (low, rest) = frame
        .split_first_chunk::<SEQUENCE_BYTES>()
        .ok_or(VerifyError::Truncated)?;
    let mut bytes = [0; 8];
    bytes[..SEQUENCE_BYTES].copy_from_slice(low);
    let sequence = closest(u64::from_le_bytes(bytes), near);
    Ok((sequence, check(key, sequence, rest)?))
}

/// Seals the answer to the question with this sequence number.
pub fn sign_reply(key: &[u8; 32], sequence: u64, payload: &[u8]) -> Vec<u8> {
    let mut frame = Vec::with_capacity(REPLY_OVERHEAD_BYTES + payload.len());
    frame.extend_from_slice(&tag(key, sequence, payload));
    frame.extend_from_slice(payload);
    frame
}

/// Checks the seal of the answer to the question with this sequence number and returns its payload.
///
/// # Errors
/// Returns a `VerifyError` if the frame was not sealed under `key`, or answers another question.
pub fn verify_reply<'a>(
    key: &[u8; 32],
    sequence: u64,
    frame: &'a [u8],
) -> Result<&'a [u8], VerifyError> {
    check(key, sequence, frame)
}

/// Returns the number closest to `near` that has these low bytes.
fn closest(low: u64, near: u64) -> u64 {
    let ahead = low.wrapping_sub(near) % SEQUENCE_SPAN;
    if ahead < SEQUENCE_SPAN / 2 {
        near.saturating_add(ahead)
    } else {
        // Below the first number, only one ahead is left.
        near.checked_sub(SEQUENCE_SPAN - ahead)
            .unwrap_or_else(|| near.saturating_add(ahead))
    }
}

/// Checks the hash at the start of `sealed` and returns the payload behind it.
fn check<'a>(key: &[u8; 32], sequence: u64, sealed: &'a [u8]) -> Result<&'a [u8], VerifyError> {
    let (found, payload) = sealed
        .split_first_chunk::<TAG_BYTES>()
        .ok_or(VerifyError::Truncated)?;
    // `Hash` compares in constant time, so the bytes that are not sent are filled with equal ones.
    let expected = tag(key, sequence, payload);
    if padded(&expected) == padded(found) {
        Ok(payload)
    } else {
        Err(VerifyError::Forged)
    }
}

fn padded(tag: &[u8; TAG_BYTES]) -> Hash {
    let mut bytes = [0; blake3::OUT_LEN];
    bytes[..TAG_BYTES].copy_from_slice(tag);
    Hash::from_bytes(bytes)
}

fn tag(key: &[u8; 32], sequence: u64, payload: &[u8]) -> [u8; TAG_BYTES] {
    let mut hasher = blake3::Hasher::new_keyed(key);
    hasher.update(&sequence.to_le_bytes());
    hasher.update(payload);
    let mut tag = [0; TAG_BYTES];
    tag.copy_from_slice(&hasher.finalize().as_bytes()[..TAG_BYTES]);
    tag
}

/// Remembers which sequence numbers were received.
#[derive(Debug)]
pub struct ReplayWindow {
    /// The lowest number that may still come.
    floor: u64,
    seen: std::collections::BTreeSet<u64>,
}

impl Default for ReplayWindow {
    fn default() -> Self {
        Self {
            floor: 1,
            seen: std::collections::BTreeSet::new(),
        }
    }
}

impl ReplayWindow {
    /// Returns the highest number taken; 0 before the first.
    pub fn highest(&self) -> u64 {
        self.seen.last().copied().unwrap_or(self.floor - 1)
    }

    /// Takes a number; returns false if it was taken before or is too old to tell.
    pub fn insert(&mut self, sequence: u64) -> bool {
        if sequence < self.floor || !self.seen.insert(sequence) {
            return false;
        }
        let highest = self.seen.last().copied().unwrap_or(sequence);
        self.floor = self.floor.max(highest.saturating_sub(WINDOW));
        while self.seen.remove(&self.floor) {
            self.floor += 1;
        }
        while self.seen.first().is_some_and(|s| *s < self.floor) {
            self.seen.pop_first();
        }
        true
    }
}
