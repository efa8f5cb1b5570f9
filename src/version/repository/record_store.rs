//! Reads and writes the records of the configuration in the store.

use std::sync::Arc;

use crate::connection::record::{decode_record, encode_record};
use crate::prelude::*;
use crate::process::message::SectionRef;
use crate::process::store::MAX_VALUE_BYTES;
use crate::version::repository::error::RepositoryError;
use crate::version::repository::record::{
    EditId, HEAD_KEY, HeadRecord, HistoryRecord, PendingText, history_key, pending_key, section_key,
};

/// The maximum number of retries of a throttled call, and of attempts to create an entry.
const MAX_RETRIES: u32 = 5;

/// Typed access to the records of the configuration in a store.
#[derive(Clone)]
pub struct RecordStore {
    store: Arc<dyn Store>,
}

impl RecordStore {
    /// Creates access to the records in `store`.
    pub fn new(store: Arc<dyn Store>) -> Self {
        Self { store }
    }

    /// Reads the head, and the expectation with which it can be swapped.
    ///
    /// # Errors
    /// Returns why it can't be read.
    pub async fn read_head_record(&self) -> Result<(HeadRecord, Expected), RepositoryError> {
        match self.call(|store| store.get(HEAD_KEY)).await? {
            None => Ok((HeadRecord::default(), Expected::Absent)),
            Some(entry) => Ok((decode_head(&entry.value)?, Expected::At(entry.revision))),
        }
    }

    /// Reads the history record of a version.
    ///
    /// # Errors
    /// Returns why it can't be read.
    pub async fn read_history(
        &self,
        version: Version,
    ) -> Result<Option<HistoryRecord>, RepositoryError> {
        let key = history_key(version);
        let entry = self.call(|store| store.get(&key)).await?;
        let record = entry.map(|entry| decode_record(&entry.value));
        let record = record.transpose();
        record.map_err(|cause| RepositoryError::Corrupt { key, cause })
    }

    /// Writes a history record; idempotent.
    ///
    /// # Errors
    /// Returns why it can't be written.
    pub async fn write_history(&self, record: &HistoryRecord) -> Result<(), RepositoryError> {
        let key = history_key(record.version);
        self.write_once(&key, encode_record(record)).await
    }

    /// Reads a section's text.
    ///
    /// # Errors
    /// Returns `Corrupt` if it is missing or differs from its hash, or why it can't be read.
    pub async fn read_text(&self, section: &SectionRef) -> Result<Arc<str>, RepositoryError> {
        let key = section_key(section);
        let corrupt = |cause: &str| RepositoryError::Corrupt {
            key: key.clone(),
            cause: cause.to_owned(),
        };
        let entry = self.call(|store| store.get(&key)).await?;
        let entry = entry.ok_or_else(|| corrupt("it is missing"))?;
        if blake3::hash(&entry.value) != blake3::Hash::from_bytes(section.hash) {
            return Err(corrupt("its hash differs from the head's"));
        }
        let text = String::from_utf8(entry.value).map_err(|_| corrupt("it is not UTF-8"))?;
        Ok(text.into())
    }

    /// Writes a section's text; idempotent.
    ///
    /// # Errors
    /// Returns why it can't be written.
    pub async fn write_text(
        &self,
        section: &SectionRef,
        text: &str,
    ) -> Result<(), RepositoryError> {
        let key = section_key(section);
        self.write_once(&key, text.as_bytes().to_vec()).await
    }

    /// Creates an entry that holds the same value whoever writes it, so that one that exists counts as written.
    async fn write_once(&self, key: &str, value: Vec<u8>) -> Result<(), RepositoryError> {
        check_size(key, value.len())?;
        for _ in 0..MAX_RETRIES {
            let swap = self.store.swap(key, Expected::Absent, value.clone(), None);
            match swap.await {
                Ok(_) | Err(StoreError::Conflict { .. }) => return Ok(()),
                Err(StoreError::Unknown { .. }) => {}
                Err(StoreError::Throttled { retry_after }) => tokio::time::sleep(retry_after).await,
                Err(error) => return Err(error.into()),
            }
        }
        let cause = "no reply to repeated writes".to_owned();
        Err(StoreError::Unavailable { cause }.into())
    }

    /// Records a text that an edit is about to write; idempotent.
    ///
    /// # Errors
    /// Returns why it can't be written.
    pub async fn write_pending(
        &self,
        edit: EditId,
        pending: &PendingText,
    ) -> Result<(), RepositoryError> {
        let key = pending_key(edit, pending.section.version);
        self.write_once(&key, encode_record(pending)).await
    }

    /// Deletes a text; returns whether it is gone.
    pub async fn delete_text(&self, section: &SectionRef) -> bool {
        self.delete(&section_key(section)).await
    }

    /// Deletes an entry; returns whether it is gone.
    pub async fn delete(&self, key: &str) -> bool {
        match self.call(|store| store.get(key)).await {
            Ok(None) => true,
            Ok(Some(entry)) => {
                let deleted = self.call(|store| store.delete(key, entry.revision)).await;
                deleted.is_ok()
            }
            Err(_) => false,
        }
    }

    /// Makes a store call; if the store throttles it, retries it after the wait that the store asks for.
    ///
    /// # Errors
    /// Returns the error of the last call.
    pub async fn call<'a, T, F>(
        &'a self,
        call: impl Fn(&'a dyn Store) -> F,
    ) -> Result<T, StoreError>
    where
        F: Future<Output = Result<T, StoreError>>,
    {
        let mut throttled = 0;
        loop {
            match call(&*self.store).await {
                Err(StoreError::Throttled { retry_after }) if throttled < MAX_RETRIES => {
                    throttled += 1;
                    tokio::time::sleep(retry_after).await;
                }
                result => return result,
            }
        }
    }
}

/// Decodes the value under `HEAD_KEY`.
///
/// # Errors
/// Returns `Corrupt` if it does not parse.
pub fn decode_head(value: &[u8]) -> Result<HeadRecord, RepositoryError> {
    decode_record(value).map_err(|cause| RepositoryError::Corrupt {
        key: HEAD_KEY.to_owned(),
        cause,
    })
}

/// Checks that the store accepts a value of `size` bytes.
///
/// # Errors
/// Returns `TooLarge`.
pub fn check_size(key: &str, size: usize) -> Result<(), RepositoryError> {
    if size <= MAX_VALUE_BYTES {
        return Ok(());
    }
    let key = key.to_owned();
    Err(RepositoryError::TooLarge { key, size })
}
