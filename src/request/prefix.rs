//! Hashes of the pieces of a prompt, which match prompts with the prefixes cached at engines. A piece is a block of
//! `PIECE_TOKENS` tokens, estimated from its bytes.

use smallvec::SmallVec;

use crate::prelude::*;
use crate::process::shard::stable_hash;

/// The size of a piece in tokens, as engines cache prefixes.
pub const PIECE_TOKENS: Tokens = 2_000;

/// The average size in bytes of a token of English text.
pub const BYTES_PER_TOKEN: Tokens = 4;

/// Estimates the number of tokens of a text from its size in bytes.
pub fn estimate_tokens(text: &str) -> Tokens {
    (text.len() as Tokens).div_ceil(BYTES_PER_TOKEN)
}

/// Returns the chained hashes of the complete pieces of `prompt`: equal hashes mean the same model and equal prompts up
/// to the end of that piece.
pub fn piece_hashes(model: &ModelId, prompt: &str) -> SmallVec<[u64; 8]> {
    let piece_bytes = usize::try_from(PIECE_TOKENS * BYTES_PER_TOKEN).unwrap_or(usize::MAX);
    let mut hash = stable_hash(&model[..]);
    prompt
        .as_bytes()
        .chunks_exact(piece_bytes)
        .map(|piece| {
            hash = stable_hash(&(hash, piece));
            hash
        })
        .collect()
}
