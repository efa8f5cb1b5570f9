//! Authentication of frames by sequence numbers and MACs.

use blake3::Hash;

/// The bytes of a MAC on the wire. Truncated to 12 of 32 bytes, a forged frame still passes with a probability of only
/// 2^-96, as in RFC 2404; the other 20 bytes would be a third of an average frame.
const MAC_BYTES: usize = 12;

/// The bytes of a sequence number on the wire, which are its low ones. The receiver derives the others from the numbers
/// that it has seen, which are never 2^23 apart; the MAC covers the whole number.
const SEQUENCE_BYTES: usize = 3;

/// The count of sequence numbers that the low bytes can distinguish.
const SEQUENCE_SPAN: u64 = 1 << (8 * SEQUENCE_BYTES);

/// The bytes that a frame adds to a request: the low bytes of its sequence number and the MAC.
pub const REQUEST_OVERHEAD_BYTES: usize = SEQUENCE_BYTES + MAC_BYTES;

/// The bytes that a frame adds to a reply: the MAC. A reply has the sequence number of its request.
pub const REPLY_OVERHEAD_BYTES: usize = MAC_BYTES;

/// How far a sequence number may be below the highest one received. Streams finish out of order, so a receiver can't
/// require increasing numbers; this is twice `MAX_STREAMS` of a connection.
const REPLAY_WINDOW: u64 = 2048;

/// Why a frame could not be verified.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VerifyError {
    /// It is shorter than its sequence number and MAC.
    Truncated,
    /// The MAC does not match.
    Forged,
}

/// Builds the frame of a request: the low bytes of `sequence`, the MAC under `key`, and the payload.
pub fn sign_request(key: &[u8; 32], sequence: u64, payload: &[u8]) -> Vec<u8> {
    let mut frame = Vec::with_capacity(REQUEST_OVERHEAD_BYTES + payload.len());
    frame.extend_from_slice(&sequence.to_le_bytes()[..SEQUENCE_BYTES]);
    frame.extend_from_slice(&mac(key, sequence, payload));
    frame.extend_from_slice(payload);
    frame
}

/// Verifies the frame of a request and returns its sequence number and payload. `highest` is the highest sequence
/// number received so far.
///
/// # Errors
/// Returns a `VerifyError` if the frame was not signed under `key`.
pub fn verify_request<'a>(
    key: &[u8; 32],
    highest: u64,
    frame: &'a [u8],
) -> Result<(u64, &'a [u8]), VerifyError> {
    let (low, rest) = frame
        .split_first_chunk::<SEQUENCE_BYTES>()
        .ok_or(VerifyError::Truncated)?;
    let mut bytes = [0; 8];
    bytes[..SEQUENCE_BYTES].copy_from_slice(low);
    let sequence = expand_sequence(u64::from_le_bytes(bytes), highest);
    Ok((sequence, verify(key, sequence, rest)?))
}

/// Builds the frame of the reply to the request with this sequence number: the MAC under `key`, and the payload.
pub fn sign_reply(key: &[u8; 32], sequence: u64, payload: &[u8]) -> Vec<u8> {
    let mut frame = Vec::with_capacity(REPLY_OVERHEAD_BYTES + payload.len());
    frame.extend_from_slice(&mac(key, sequence, payload));
    frame.extend_from_slice(payload);
    frame
}

/// Verifies the frame of the reply to the request with this sequence number and returns its payload.
///
/// # Errors
/// Returns a `VerifyError` if the frame was not signed under `key`, or replies to another request.
pub fn verify_reply<'a>(
    key: &[u8; 32],
    sequence: u64,
    frame: &'a [u8],
) -> Result<&'a [u8], VerifyError> {
    verify(key, sequence, frame)
}

/// Returns the sequence number closest to `highest` that has these low bytes.
fn expand_sequence(low: u64, highest: u64) -> u64 {
    let ahead = low.wrapping_sub(highest) % SEQUENCE_SPAN;
    if ahead < SEQUENCE_SPAN / 2 {
        highest.saturating_add(ahead)
    } else {
        // The closest number would be negative, so the next one above is returned.
        highest
            .checked_sub(SEQUENCE_SPAN - ahead)
            .unwrap_or_else(|| highest.saturating_add(ahead))
    }
}

/// Verifies the MAC at the start of `signed` and returns the payload after it.
fn verify<'a>(key: &[u8; 32], sequence: u64, signed: &'a [u8]) -> Result<&'a [u8], VerifyError> {
    let (found, payload) = signed
        .split_first_chunk::<MAC_BYTES>()
        .ok_or(VerifyError::Truncated)?;
    // `Hash` compares in constant time; both truncated MACs are padded to its length.
    let expected = mac(key, sequence, payload);
    if padded_mac(&expected) == padded_mac(found) {
        Ok(payload)
    } else {
        Err(VerifyError::Forged)
    }
}

fn padded_mac(mac: &[u8; MAC_BYTES]) -> Hash {
    let mut bytes = [0; blake3::OUT_LEN];
    bytes[..MAC_BYTES].copy_from_slice(mac);
    Hash::from_bytes(bytes)
}

fn mac(key: &[u8; 32], sequence: u64, payload: &[u8]) -> [u8; MAC_BYTES] {
    let mut hasher = blake3::Hasher::new_keyed(key);
    hasher.update(&sequence.to_le_bytes());
    hasher.update(payload);
    let mut mac = [0; MAC_BYTES];
    mac.copy_from_slice(&hasher.finalize().as_bytes()[..MAC_BYTES]);
    mac
}

/// Tracks which sequence numbers were received, to detect replays.
#[derive(Debug)]
pub struct ReplayWindow {
    /// The lowest number that is still accepted.
    floor: u64,
    /// The received numbers above `floor`.
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
    /// Returns the highest number received; 0 before the first.
    pub fn highest(&self) -> u64 {
        self.seen.last().copied().unwrap_or(self.floor - 1)
    }

    /// Records a number; returns false if it was received before or is too old to tell.
    pub fn insert(&mut self, sequence: u64) -> bool {
        if sequence < self.floor || !self.seen.insert(sequence) {
            return false;
        }
        let highest = self.seen.last().copied().unwrap_or(sequence);
        self.floor = self.floor.max(highest.saturating_sub(REPLAY_WINDOW));
        while self.seen.remove(&self.floor) {
            self.floor += 1;
        }
        while self.seen.first().is_some_and(|s| *s < self.floor) {
            self.seen.pop_first();
        }
        true
    }
}
