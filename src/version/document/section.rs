//! One team's section, parsed on its own, so that a change parses only the section that it touches.

use ini::Properties;

use crate::prelude::*;
use crate::version::document::entries::{Entry, read_entry};
use crate::version::fields::{Fields, Problem, parse_ini};

/// The kinds of entries that a team's section may hold.
const KINDS: [&str; 6] = ["fleet", "customer", "key", "route", "upstream", "stop"];

/// The entries of a team's section and the problems found in it.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct ParsedSection {
    /// The entries with their headers, in the order of the text.
    pub entries: Vec<ParsedEntry>,
    /// The problems that show without the other sections.
    pub problems: Vec<Problem>,
}

/// An entry with the header that it was read from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParsedEntry {
    /// The kind in the header, such as `customer`.
    pub kind: &'static str,
    /// The name in the header.
    pub name: Name,
    /// The whole header: `team/kind/name`.
    pub header: String,
    /// The value; `None` if its problems leave nothing to compile.
    pub entry: Option<Entry>,
}

impl ParsedSection {
    /// Parses the section of `team`; `source` names the text in problems.
    pub fn parse(source: &str, team: &str, text: &str) -> Self {
        let mut parsed = Self::default();
        let ini = match parse_ini(source, text) {
            Ok(ini) => ini,
            Err(problem) => {
                parsed.problems.push(problem);
                return parsed;
            }
        };
        for (header, properties) in &ini {
            let header = header.unwrap_or_default();
            match split_header(header) {
                Some((owner, kind, name)) if owner == team => {
                    parsed.parse_entry(source, header, kind, name.into(), properties);
                }
                Some((owner, _, _)) => {
                    let message =
                        format!("belongs to team {owner}; move it to that team's section");
                    parsed
                        .problems
                        .push(section_problem(source, header, message));
                }
                None => parsed
                    .problems
                    .extend(header_problem(source, header, properties)),
            }
        }
        parsed
    }

    fn parse_entry(
        &mut self,
        source: &str,
        header: &str,
        kind: &str,
        name: Name,
        keys: &Properties,
    ) {
        let Some(kind) = KINDS.into_iter().find(|known| *known == kind) else {
            let known = KINDS.join(", ");
            let message = format!("unknown kind {kind:?}; known kinds are {known}");
            self.problems.push(section_problem(source, header, message));
            return;
        };
        let mut fields = Fields::new(source, header, Some(keys), &mut self.problems);
        let entry = read_entry(kind, name.clone(), &mut fields);
        fields.finish();
        self.entries.push(ParsedEntry {
            kind,
            name,
            header: header.to_owned(),
            entry,
        });
    }
}

/// Splits a header into team, kind and name; `None` if it has another form.
pub fn split_header(header: &str) -> Option<(&str, &str, &str)> {
    let (team, rest) = header.split_once('/')?;
    let (kind, name) = rest.split_once('/')?;
    let valid = |part: &str| !part.is_empty() && !part.contains('/');
    (is_team_name(team) && valid(kind) && valid(name)).then_some((team, kind, name))
}

/// Returns whether `name` is valid as a team name, which becomes a part of keys in the store.
pub fn is_team_name(name: &str) -> bool {
    let valid = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    !name.is_empty() && name.len() <= 64 && name.chars().all(valid)
}

/// Returns the problem of a header that is not `team/kind/name`; `None` for the empty section before the first header.
pub fn header_problem(source: &str, header: &str, keys: &Properties) -> Option<Problem> {
    if header.is_empty() && keys.is_empty() {
        return None;
    }
    let message =
        "section header is not team/kind/name; write for example [graphics/customer/coast]";
    Some(section_problem(source, header, message))
}

/// Creates a problem that concerns a whole INI section.
pub fn section_problem(source: &str, section: &str, message: impl Into<String>) -> Problem {
    Problem {
        source: source.to_owned(),
        section: section.to_owned(),
        key: String::new(),
        message: message.into(),
    }
}
