//! Names of the pieces of a prompt, for matching prompts with cached prefixes.

use smallvec::SmallVec;

use crate::prelude::*;
use crate::process::shard::stable_hash;

/// The size of a piece of engine memory in tokens.
pub const PIECE_TOKENS: Tokens = 2_000;

/// The average bytes of a token of English text.
pub const BYTES_PER_TOKEN: Tokens = 4;

/// Estimates the tokens of a text.
pub fn estimate_tokens(text: &str) -> Tokens {
    (text.len() as Tokens).div_ceil(BYTES_PER_TOKEN)
}

/// Returns the chained hashes of the whole pieces of `prompt`: equal hashes mean equal prompts up to
/// the end of that piece.
pub fn piece_hashes(model: &ModelId, prompt: &str) -> SmallVec<[u64; 8]> {
    let piece_bytes = usize::try_from(PIECE_TOKENS * BYTES_PER_TOKEN).unwrap_or(usize::MAX);
    let mut chained = stable_hash(&model[..]);
    prompt
        .as_bytes()
        .chunks_exact(piece_bytes)
        .map(|piece| {
            chained = stable_hash(&(chained, piece));
            chained
        })
        .collect()
}
