//! State split into shards, each under its own lock.

use std::hash::{Hash, Hasher};
use std::sync::{Mutex, MutexGuard, PoisonError};

use siphasher::sip::SipHasher13;

/// The number of shards: several times the worker threads of a small host, so that threads seldom wait for each other.
const SHARD_COUNT: usize = 32;

/// A fixed number of values, each behind its own lock. The hash of a key selects one.
///
/// A guard must not be held across an `await`.
#[derive(Debug)]
pub struct Shards<T> {
    shards: Box<[Mutex<T>]>,
}

impl<T: Default> Default for Shards<T> {
    fn default() -> Self {
        Self {
            shards: (0..SHARD_COUNT).map(|_| Mutex::default()).collect(),
        }
    }
}

impl<T> Shards<T> {
    /// Locks the shard that `key` belongs to.
    pub fn lock(&self, key: &(impl Hash + ?Sized)) -> MutexGuard<'_, T> {
        let index = stable_hash(key) % self.shards.len() as u64;
        let index = usize::try_from(index).unwrap_or_default();
        lock(&self.shards[index])
    }

    /// Iterates over the shards and locks one at a time, for dumps and periodic work.
    pub fn iter(&self) -> impl Iterator<Item = MutexGuard<'_, T>> {
        self.shards.iter().map(lock)
    }
}

/// Locks a mutex and ignores poisoning: every update leaves the state consistent before it can panic.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Hashes `key`; all processes of the same build get the same result.
pub fn stable_hash(key: &(impl Hash + ?Sized)) -> u64 {
    let mut hasher = SipHasher13::new();
    key.hash(&mut hasher);
    hasher.finish()
}

/// Returns the rendezvous weight of `candidate` for `key`; the highest weight owns the key.
pub fn rendezvous_weight(key: &(impl Hash + ?Sized), candidate: &str) -> u64 {
    stable_hash(&(stable_hash(key), candidate))
}

/// Returns the candidates by descending rendezvous weight for `key`; equal weights are ordered by name.
pub fn rendezvous_order<C: AsRef<str>>(
    key: &(impl Hash + ?Sized),
    candidates: impl IntoIterator<Item = C>,
) -> Vec<C> {
    let mut ranked: Vec<_> = candidates
        .into_iter()
        .map(|c| (rendezvous_weight(key, c.as_ref()), c))
        .collect();
    ranked.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.as_ref().cmp(b.1.as_ref())));
    ranked.into_iter().map(|(_, c)| c).collect()
}
