//! This host's record in the platform's store.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::connection::peer::{decode, encode};
use crate::prelude::*;
use crate::process::message::Member;
use crate::process::shard::lock;

/// The prefix of the keys of all hosts' records.
const PREFIX: &str = "host/";
/// The time to live of the lease: three times [`READ_INTERVAL`](super::READ_INTERVAL), at which it is renewed.
const LEASE_TTL: Duration = Duration::from_secs(30);

/// Returns the key of a host's record, `host/DATA_CENTRE/HOST`.
pub fn record_key(member: &Member) -> String {
    format!("{PREFIX}{}/{}", member.data_centre, member.host)
}

/// Keeps this host's record alive and reads those of others.
pub struct Registration {
    store: Arc<dyn Store>,
    state: Mutex<RegistrationState>,
}

#[derive(Default, Clone)]
struct RegistrationState {
    lease: Option<LeaseId>,
    /// The content of the record; `None` if unknown.
    written: Option<Member>,
    ended: bool,
}

impl Registration {
    /// Creates a registration without a record; `renew` writes it.
    pub fn new(store: Arc<dyn Store>) -> Self {
        Self {
            store,
            state: Mutex::default(),
        }
    }

    /// Renews the lease, and writes the record if it is gone or differs from `me`.
    ///
    /// # Errors
    /// Returns the store's error; the next call completes what failed.
    pub async fn renew(&self, me: &Member) -> Result<(), StoreError> {
        let RegistrationState {
            lease,
            written,
            ended,
        } = lock(&self.state).clone();
        if ended {
            return Ok(());
        }
        if let Some(lease) = lease {
            match self.store.renew_lease(lease).await {
                Ok(()) if written.as_ref() == Some(me) => return Ok(()),
                Err(StoreError::LeaseGone) => {
                    log::warn!(host:% = me.host; "host lease expired; registering again");
                    let mut state = lock(&self.state);
                    (state.lease, state.written) = (None, None);
                }
                result => result?,
            }
        }
        let lease = lock(&self.state).lease;
        let lease = match lease {
            Some(lease) => lease,
            None => self.store.grant_lease(LEASE_TTL).await?,
        };
        lock(&self.state).lease = Some(lease);
        let value = encode(me).map_err(|cause| StoreError::Unavailable { cause })?;
        let key = record_key(me);
        let found = self.store.get(&key).await?;
        let expected = found.map_or(Expected::Absent, |entry| Expected::At(entry.revision));
        // After a lost reply or a conflicting write, `written` stays empty and the next call writes again.
        self.store.swap(&key, expected, value, Some(lease)).await?;
        lock(&self.state).written = Some(me.clone());
        Ok(())
    }

    /// Reads the records of all hosts.
    ///
    /// # Errors
    /// Returns the store's error.
    pub async fn read_all(&self) -> Result<Vec<Member>, StoreError> {
        let entries = self.store.list(PREFIX).await?;
        let members = entries.iter().filter_map(|entry| {
            decode(&entry.value)
                .inspect_err(
                    |e| log::warn!(key:% = entry.key; "host record skipped, can't be decoded: {e}"),
                )
                .ok()
        });
        Ok(members.collect())
    }

    /// Revokes the lease, which deletes the record, and stops further renewals.
    ///
    /// # Errors
    /// Returns the store's error; the lease then expires by itself.
    pub async fn deregister(&self) -> Result<(), StoreError> {
        let lease = {
            let mut state = lock(&self.state);
            state.ended = true;
            state.lease.take()
        };
        match lease {
            Some(lease) => self.store.revoke_lease(lease).await,
            None => Ok(()),
        }
    }
}
