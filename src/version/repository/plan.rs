//! Computes the head after an edit, without access to a store or a clock.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::SystemTime;

use crate::prelude::*;
use crate::process::message::{Head, SectionRef};
use crate::version::document::entries::{Entry, Fleet};
use crate::version::document::merge;
use crate::version::document::section::{ParsedSection, is_team_name, section_problem};
use crate::version::fields::Problem;
use crate::version::repository::error::RepositoryError;
use crate::version::repository::record::{
    EditId, HeadRecord, HistoryRecord, PAST_FLEET_LIFETIME, PastFleet,
};
use crate::version::repository::record_store::check_size;
use crate::version::repository::{Edit, SectionTexts};

/// Builds the head after the edit, made at `at` to the sections in `texts`, and checks the whole document with it.
///
/// # Errors
/// Returns `Invalid` with every problem.
pub fn plan_edit(
    current: &HeadRecord,
    texts: &SectionTexts,
    edit: &Edit,
    id: EditId,
    at: SystemTime,
) -> Result<HeadRecord, RepositoryError> {
    let version = current.head.version.max(edit.above) + 1;
    let mut parsed: BTreeMap<TeamId, Arc<ParsedSection>> = texts
        .iter()
        .map(|(team, text)| {
            (
                team.clone(),
                Arc::new(ParsedSection::parse(team, team, text)),
            )
        })
        .collect();
    let old_fleet = find_fleet(&parsed).map(|(_, _, fleet)| fleet.clone());
    let had_customers = parsed.values().any(|section| has_customers(section));
    let mut next = current.clone();
    let previous = current.head.section(&edit.team).cloned();
    next.head.version = version;
    next.head
        .sections
        .retain(|section| section.team != edit.team);
    let section = edit.text.as_ref().map(|text| SectionRef {
        team: edit.team.clone(),
        version,
        hash: blake3::hash(text.as_bytes()).into(),
    });
    if let (Some(section), Some(text)) = (&section, &edit.text) {
        let new = ParsedSection::parse(&edit.team, &edit.team, text);
        parsed.insert(edit.team.clone(), Arc::new(new));
        next.head.sections.push(section.clone());
        next.head.sections.sort_by(|a, b| a.team.cmp(&b.team));
        next.removed.remove(&edit.team);
    } else {
        parsed.remove(&edit.team);
        next.removed.insert(edit.team.clone(), version);
    }
    next.past_fleets.retain(|past| past.is_in_use(at));
    let mut problems = merge(version, &parsed).err().unwrap_or_default();
    if let (Some(old), Some((team, header, new))) = (old_fleet, find_fleet(&parsed))
        && old != *new
    {
        if had_customers || !next.past_fleets.is_empty() {
            next.past_fleets.push(PastFleet {
                data_centres: old.data_centres,
                shares: old.shares,
                replaced: at,
            });
        }
        problems.extend(check_fleet(team, header, new, &next.past_fleets));
    }
    if !problems.is_empty() {
        return Err(RepositoryError::Invalid(problems));
    }
    next.last = Some(HistoryRecord {
        version,
        parent: current.head.version,
        edit: id,
        by: edit.by.clone(),
        at,
        team: edit.team.clone(),
        section,
        previous,
    });
    Ok(next)
}

/// Checks what can be checked without the store.
///
/// # Errors
/// Returns `Invalid` or `TooLarge`.
pub fn check_input(edit: &Edit) -> Result<(), RepositoryError> {
    let mut problems = Vec::new();
    if !is_team_name(&edit.team) {
        let message =
            "not a team name; use up to 64 letters, digits, hyphens, underscores and dots";
        problems.push(section_problem(&edit.team, "", message));
    }
    if edit.by.trim().is_empty() {
        let message = "editor's name is empty; give it with --by";
        problems.push(section_problem(&edit.team, "", message));
    }
    if !problems.is_empty() {
        return Err(RepositoryError::Invalid(problems));
    }
    let size = edit.text.as_ref().map_or(0, String::len);
    check_size(&format!("section of team {}", edit.team), size)
}

/// Checks that the version in the store is not older than `known`.
///
/// # Errors
/// Returns `Older`.
pub fn check_not_older(head: &Head, known: Version) -> Result<(), RepositoryError> {
    if head.version >= known {
        return Ok(());
    }
    let stored = head.version;
    Err(RepositoryError::Older { known, stored })
}

/// Checks that the section did not change after `base`, and that there is one to remove.
///
/// # Errors
/// Returns `Conflict` or `NoSection`.
pub fn check_base(current: &HeadRecord, edit: &Edit, base: Version) -> Result<(), RepositoryError> {
    let section = current.head.section(&edit.team);
    let removed = current.removed.get(&edit.team).copied();
    let changed = section.map(|s| s.version).or(removed).unwrap_or(0);
    if changed > base {
        return Err(RepositoryError::Conflict {
            team: edit.team.clone(),
            base,
            changed,
        });
    }
    if section.is_none() && edit.text.is_none() {
        let team = edit.team.clone();
        return Err(RepositoryError::NoSection { team });
    }
    Ok(())
}

fn has_customers(section: &ParsedSection) -> bool {
    section.entries.iter().any(|entry| entry.kind == "customer")
}

fn find_fleet(sections: &BTreeMap<TeamId, Arc<ParsedSection>>) -> Option<(&TeamId, &str, &Fleet)> {
    sections.iter().find_map(|(team, section)| {
        section
            .entries
            .iter()
            .find_map(|parsed| match &parsed.entry {
                Some(Entry::Fleet(fleet)) => Some((team, parsed.header.as_str(), fleet)),
                _ => None,
            })
    })
}

/// Refuses a list of data centres with which hosts on older versions could hold more than a customer's whole rate:
/// each data centre counts with its largest share in any list that may still be in use.
fn check_fleet(team: &str, header: &str, new: &Fleet, past: &[PastFleet]) -> Option<Problem> {
    let past_lists = past.iter().map(|past| (&past.data_centres, past.shares));
    let mut largest: HashMap<&DataCentreId, Share> = HashMap::new();
    for (data_centres, shares) in past_lists.chain([(&new.data_centres, new.shares)]) {
        for data_centre in data_centres {
            let share = largest.entry(data_centre).or_default();
            *share = (*share).max(WHOLE_SHARE / shares.max(1));
        }
    }
    let sum: u64 = largest.into_values().map(u64::from).sum();
    if sum <= u64::from(WHOLE_SHARE) {
        return None;
    }
    let last = past.iter().map(|past| past.replaced).max()?;
    let until = humantime::format_rfc3339_seconds(last + PAST_FLEET_LIFETIME);
    let message = format!(
        "customers could get more than their rate while hosts still use an earlier list of data centres (until \
         {until}); to add a data centre, first raise shares and add it 2 h later; to remove one, first remove it with \
         shares unchanged and lower shares 2 h later"
    );
    Some(Problem {
        key: "data_centres".to_owned(),
        ..section_problem(team, header, message)
    })
}
