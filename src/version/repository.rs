//! The configuration in the platform's store: section texts, the head that names them, and the history.

pub mod error;
pub mod plan;
pub mod record;
pub mod record_store;
pub mod sweep;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use futures_util::{StreamExt, TryStreamExt, stream};

use crate::connection::record::encode_record;
use crate::prelude::*;
use crate::process::message::{Head, SectionRef};
use crate::version::repository::error::RepositoryError;
use crate::version::repository::plan::{check_base, check_input, check_not_older, plan_edit};
use crate::version::repository::record::{
    EditId, HEAD_KEY, HeadRecord, HistoryRecord, PendingText, pending_key,
};
use crate::version::repository::record_store::{RecordStore, check_size, decode_head};

/// The maximum number of attempts of one edit while concurrent edits of other teams move the head.
const MAX_ATTEMPTS: u32 = 20;

/// The number of section texts read concurrently; keeps one reader far below the store's 2,000 reads a second.
const PARALLEL_READS: usize = 16;

/// The default number of versions whose section texts stay readable.
const KEPT_VERSIONS: Version = 1_000;

/// Section texts by team.
pub type SectionTexts = BTreeMap<TeamId, Arc<str>>;

/// A change of one team's section.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Edit {
    /// The team whose section is changed.
    pub team: TeamId,
    /// The new text; `None` removes the section.
    pub text: Option<String>,
    /// The editor's name, for the history.
    pub by: String,
    /// The version that the edit is based on; `None` for the newest one.
    pub base: Option<Version>,
    /// A version that the new one has to exceed, for a store that was restored from an old backup.
    pub above: Version,
}

/// The configuration in a store.
#[derive(Clone)]
pub struct Repository {
    records: RecordStore,
    store: Arc<dyn Store>,
    clock: Arc<dyn Clock>,
    kept_versions: Version,
}

impl Repository {
    /// Creates a repository in `store`.
    pub fn new(store: Arc<dyn Store>, clock: Arc<dyn Clock>) -> Self {
        Self {
            records: RecordStore::new(store.clone()),
            store,
            clock,
            kept_versions: KEPT_VERSIONS,
        }
    }

    /// Sets the number of versions whose section texts stay readable.
    #[must_use]
    pub fn with_kept_versions(mut self, versions: Version) -> Self {
        self.kept_versions = versions;
        self
    }

    /// Reads the head; the default record if nothing was stored yet.
    ///
    /// # Errors
    /// Returns `Older` if the store holds an older version than `known`, or why it can't be read.
    pub async fn read_head(&self, known: Version) -> Result<HeadRecord, RepositoryError> {
        let (record, _) = self.records.read_head_record().await?;
        check_not_older(&record.head, known)?;
        Ok(record)
    }

    /// Reads the head with its revision, for a watch; revision 0 if nothing was stored yet.
    ///
    /// # Errors
    /// Returns why it can't be read.
    pub async fn read_head_with_revision(&self) -> Result<(Head, Revision), RepositoryError> {
        let (record, expected) = self.records.read_head_record().await?;
        let revision = match expected {
            Expected::Absent => 0,
            Expected::At(revision) => revision,
        };
        Ok((record.head, revision))
    }

    /// Waits up to `wait` for a head after `revision`; `None` if there is none.
    ///
    /// # Errors
    /// Returns why the store can't be watched, or `Corrupt` if the head does not parse.
    pub async fn watch_head(
        &self,
        revision: Revision,
        wait: Duration,
    ) -> Result<Option<(Head, Revision)>, RepositoryError> {
        let changes = self.store.watch(HEAD_KEY, revision, wait).await?;
        match changes.into_iter().last() {
            None => Ok(None),
            Some(StoreChange::Put(entry)) => {
                Ok(Some((decode_head(&entry.value)?.head, entry.revision)))
            }
            Some(StoreChange::Deleted { revision, .. }) => Ok(Some((Head::default(), revision))),
        }
    }

    /// Reads the texts that `head` names, except those that are in `known_texts` already.
    ///
    /// # Errors
    /// Returns `Corrupt` if a text is missing or differs from its hash, or why it can't be read.
    pub async fn read_texts(
        &self,
        head: &Head,
        have: &BTreeMap<TeamId, (SectionRef, Arc<str>)>,
    ) -> Result<SectionTexts, RepositoryError> {
        let reads = head.sections.iter().map(|section| async move {
            let text = match have.get(&section.team) {
                Some((known, text)) if known.hash == section.hash => text.clone(),
                _ => self.records.read_text(section).await?,
            };
            Ok::<_, RepositoryError>((section.team.clone(), text))
        });
        // Collected first, because a lazy iterator of borrowing futures held across the await is not `Send`.
        let reads: Vec<_> = reads.collect();
        stream::iter(reads)
            .buffer_unordered(PARALLEL_READS)
            .try_collect()
            .await
    }

    /// Returns the edits, newest first, at most `limit`.
    ///
    /// # Errors
    /// Returns why the store can't be read.
    pub async fn history(&self, limit: usize) -> Result<Vec<HistoryRecord>, RepositoryError> {
        let (record, _) = self.records.read_head_record().await?;
        let mut next = record.last;
        let mut found = Vec::new();
        while let Some(record) = next
            && found.len() < limit
        {
            next = self.records.read_history(record.parent).await?;
            found.push(record);
        }
        Ok(found)
    }

    /// Applies an edit: checks the whole document with it, writes the section and moves the head.
    ///
    /// # Errors
    /// Returns every problem of the document, a conflict with a concurrent edit of the same section, or the store's
    /// error.
    pub async fn edit(&self, edit: &Edit) -> Result<HistoryRecord, RepositoryError> {
        check_input(edit)?;
        let mut attempt = Attempt::new(edit.base);
        for _ in 0..MAX_ATTEMPTS {
            let step = self.try_edit(edit, &mut attempt).await;
            match step {
                Ok(Some(record)) => return Ok(record),
                Ok(None) => {}
                Err(error) => return Err(attempt.prefer_unknown_outcome(error)),
            }
        }
        let attempts = MAX_ATTEMPTS;
        Err(attempt.prefer_unknown_outcome(RepositoryError::Contended { attempts }))
    }

    /// Makes one attempt; `None` if the head moved or the outcome has to be read back.
    async fn try_edit(
        &self,
        edit: &Edit,
        attempt: &mut Attempt,
    ) -> Result<Option<HistoryRecord>, RepositoryError> {
        let (current, expected) = self.records.read_head_record().await?;
        if let Some(done) = self.find_edit(&current, attempt).await? {
            return Ok(Some(done));
        }
        self.delete_leftover(&current, attempt).await;
        let base = *attempt.base.get_or_insert(current.head.version);
        let known = edit.base.filter(|base| *base > edit.above).unwrap_or(0);
        check_not_older(&current.head, known)?;
        check_base(&current, edit, base)?;
        let texts = self.read_texts(&current.head, &attempt.known_texts).await?;
        attempt.remember_texts(&current.head, &texts);
        let at = self.clock.wall_time();
        let mut next = plan_edit(&current, &texts, edit, attempt.id, at)?;
        next.swept = self.sweep(&current).await;
        self.sweep_pending(&current, at).await;
        if let Some(last) = &current.last {
            self.records.write_history(last).await?;
        }
        let written = next
            .head
            .section(&edit.team)
            .filter(|_| edit.text.is_some());
        if let (Some(section), Some(text)) = (written, &edit.text) {
            let pending = PendingText {
                section: section.clone(),
                at,
            };
            self.records.write_pending(attempt.id, &pending).await?;
            self.records.write_text(section, text).await?;
        }
        let value = encode_record(&next);
        check_size(HEAD_KEY, value.len())?;
        let version = next.head.version;
        match self
            .records
            .call(|store| store.swap(HEAD_KEY, expected, value.clone(), None))
            .await
        {
            Ok(_) => {
                // The next edit writes the record if this call fails.
                if let Some(last) = &next.last
                    && let Err(e) = self.records.write_history(last).await
                {
                    log::debug!(version; "history record left to the next edit: {e}");
                }
                self.records.delete(&pending_key(attempt.id, version)).await;
                Ok(next.last)
            }
            Err(StoreError::Conflict { .. }) => {
                attempt.leftover = written.cloned();
                Ok(None)
            }
            Err(cause @ StoreError::Unknown { .. }) => {
                attempt.unconfirmed = Some((version, cause));
                attempt.leftover = written.cloned();
                Ok(None)
            }
            Err(error) => Err(error.into()),
        }
    }

    /// Finds an edit whose outcome is unknown. The head names its own edit, and earlier edits are in the history
    /// before the head moves on.
    async fn find_edit(
        &self,
        current: &HeadRecord,
        attempt: &mut Attempt,
    ) -> Result<Option<HistoryRecord>, RepositoryError> {
        let Some((version, _)) = attempt.unconfirmed else {
            return Ok(None);
        };
        let mut found = current.last.clone();
        if current.head.version > version {
            found = self.records.read_history(version).await?;
        }
        let found = found.filter(|record| record.edit == attempt.id);
        // The head has moved past the revision that the lost call expected, so that call can't take effect any more.
        if current.head.version >= version {
            attempt.unconfirmed = None;
        }
        Ok(found)
    }
}

/// The state of one edit over its attempts.
struct Attempt {
    id: EditId,
    /// The version that the edit is based on; the first one read if the editor names none.
    base: Option<Version>,
    /// The version of a head write with unknown outcome, and the error of the call.
    unconfirmed: Option<(Version, StoreError)>,
    /// The section text written for a head that was not committed, or with unknown outcome.
    leftover: Option<SectionRef>,
    /// The texts read so far; the next attempt reads only what a concurrent edit changed.
    known_texts: BTreeMap<TeamId, (SectionRef, Arc<str>)>,
}

impl Attempt {
    fn new(base: Option<Version>) -> Self {
        Self {
            id: rand::random(),
            base,
            unconfirmed: None,
            leftover: None,
            known_texts: BTreeMap::new(),
        }
    }

    fn remember_texts(&mut self, head: &Head, texts: &SectionTexts) {
        for section in &head.sections {
            if let Some(text) = texts.get(&section.team) {
                let kept = (section.clone(), text.clone());
                self.known_texts.insert(section.team.clone(), kept);
            }
        }
    }

    /// Returns `OutcomeUnknown` instead of `error` while the outcome of an earlier head write is unknown.
    fn prefer_unknown_outcome(&self, error: RepositoryError) -> RepositoryError {
        match &self.unconfirmed {
            None => error,
            Some((version, cause)) => RepositoryError::OutcomeUnknown {
                edit: self.id,
                version: *version,
                cause: cause.clone(),
            },
        }
    }
}
