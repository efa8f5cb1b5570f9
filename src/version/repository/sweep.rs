//! Deletes section texts that are no longer needed, a few with each edit.

use std::time::{Duration, SystemTime};

use crate::prelude::*;
use crate::process::message::SectionRef;
use crate::version::repository::record::{HeadRecord, PENDING_PREFIX, PendingText, pending_key};
use crate::version::repository::{Attempt, Repository};

/// The maximum number of replaced section texts that one edit deletes; above the one that it replaces, so that a
/// backlog shrinks.
const MAX_SWEPT_PER_EDIT: Version = 4;

/// The maximum number of pending records that one edit cleans up.
const MAX_PENDING_PER_EDIT: usize = 4;

/// The age from which a pending record is taken to belong to no running edit. An edit takes seconds; the rest allows
/// for clock skew between the editors' machines.
pub const PENDING_EXPIRY: Duration = Duration::from_hours(1);

impl Repository {
    /// Deletes the text of an attempt that failed, unless a concurrent edit with the same text committed that version.
    /// A failure leaves the text to `sweep_pending`.
    pub(super) async fn delete_leftover(&self, current: &HeadRecord, attempt: &mut Attempt) {
        let version = current.head.version;
        // Until that version is committed, a concurrent edit may still commit it with the same text.
        let Some(section) = attempt.leftover.take_if(|s| s.version <= version) else {
            return;
        };
        if self.delete_unless_committed(current, &section).await {
            let key = pending_key(attempt.id, section.version);
            self.records.delete(&key).await;
        }
    }

    /// Deletes some of the section texts that none of the last `kept_versions` versions needs; returns the version
    /// up to which that is done. A failure leaves the rest to the next edit.
    pub(super) async fn sweep(&self, current: &HeadRecord) -> Version {
        let end = current.head.version.saturating_sub(self.kept_versions);
        let mut swept = current.swept;
        while swept < end.min(current.swept + MAX_SWEPT_PER_EDIT) {
            let Ok(record) = self.records.read_history(swept + 1).await else {
                break;
            };
            if let Some(previous) = record.and_then(|record| record.previous)
                && !self.records.delete_text(&previous).await
            {
                break;
            }
            swept += 1;
        }
        swept
    }

    /// Deletes some of the texts of edits that lost to a concurrent edit and could not clean up, or whose process died.
    /// A failure leaves the rest to the next edit.
    pub(super) async fn sweep_pending(&self, current: &HeadRecord, now: SystemTime) {
        let Ok(entries) = self.records.call(|store| store.list(PENDING_PREFIX)).await else {
            return;
        };
        let old = entries.iter().filter_map(|entry| {
            let pending = PendingText::decode(&entry.value)?;
            let age = now.duration_since(pending.at).unwrap_or_default();
            // A version after the head may still be committed with this text.
            let settled = pending.section.version <= current.head.version && age >= PENDING_EXPIRY;
            settled.then_some((&entry.key, pending.section))
        });
        let old: Vec<_> = old.take(MAX_PENDING_PER_EDIT).collect();
        for (key, section) in old {
            if self.delete_unless_committed(current, &section).await {
                self.records.delete(key).await;
            }
        }
    }

    /// Deletes the text of `section`, whose version is committed, unless that version refers to it; returns whether the
    /// text is either needed or gone.
    async fn delete_unless_committed(&self, current: &HeadRecord, section: &SectionRef) -> bool {
        if current.head.sections.contains(section) {
            return true;
        }
        let committed = match &current.last {
            Some(last) if last.version == section.version => Ok(Some(last.clone())),
            _ => self.records.read_history(section.version).await,
        };
        match committed {
            Ok(Some(committed)) if committed.section.as_ref() == Some(section) => true,
            Ok(_) => self.records.delete_text(section).await,
            Err(_) => false,
        }
    }
}
