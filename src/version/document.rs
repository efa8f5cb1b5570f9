//! The configuration document: INI text with section headers `team/kind/name`.

pub mod entries;
pub mod section;

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use crate::prelude::*;
use crate::version::compiled::{CompiledConfig, StopSubject};
use crate::version::document::entries::Entry;
use crate::version::document::section::{
    ParsedEntry, ParsedSection, header_problem, section_problem, split_header,
};
use crate::version::fields::{Problem, parse_ini};

/// Splits a whole document into the teams' sections, each as INI text.
///
/// # Errors
/// Returns a problem for each header that is not `team/kind/name`, or the syntax error.
pub fn split_by_team(source: &str, text: &str) -> Result<BTreeMap<TeamId, String>, Vec<Problem>> {
    let (sections, problems) = split_valid(source, text);
    if problems.is_empty() {
        Ok(sections)
    } else {
        Err(problems)
    }
}

/// Compiles a whole document.
///
/// # Errors
/// Returns every problem of the document; `source` names the document in them.
pub fn compile_text(
    source: &str,
    version: Version,
    text: &str,
) -> Result<CompiledConfig, Vec<Problem>> {
    let (sections, mut problems) = split_valid(source, text);
    // After a syntax error there is nothing to compile.
    if sections.is_empty() && !problems.is_empty() {
        return Err(problems);
    }
    let compiled = match compile(version, &sections) {
        Ok(compiled) if problems.is_empty() => return Ok(compiled),
        compiled => compiled,
    };
    problems.extend(compiled.err().unwrap_or_default());
    for problem in &mut problems {
        source.clone_into(&mut problem.source);
    }
    Err(problems)
}

/// Splits a document into the sections with valid headers, and the problems with the others.
fn split_valid(source: &str, text: &str) -> (BTreeMap<TeamId, String>, Vec<Problem>) {
    let ini = match parse_ini(source, text) {
        Ok(ini) => ini,
        Err(problem) => return (BTreeMap::new(), vec![problem]),
    };
    let mut problems = Vec::new();
    let mut teams: BTreeMap<TeamId, ini::Ini> = BTreeMap::new();
    for (header, properties) in &ini {
        let header = header.unwrap_or_default();
        let Some((team, _, _)) = split_header(header) else {
            problems.extend(header_problem(source, header, properties));
            continue;
        };
        let section = teams.entry(team.into()).or_default();
        // A header without keys is kept, so that its missing keys are reported.
        section
            .entry(Some(header.to_owned()))
            .or_insert_with(ini::Properties::new);
        let mut setter = section.with_section(Some(header));
        for (key, value) in properties {
            setter.add(key, value);
        }
    }
    let sections = teams
        .into_iter()
        .map(|(team, ini)| (team, write_ini(&ini)))
        .collect();
    (sections, problems)
}

fn write_ini(ini: &ini::Ini) -> String {
    let mut buf = Vec::new();
    // Writing into memory can't fail.
    let _ = ini.write_to_policy(&mut buf, ini::EscapePolicy::Nothing);
    String::from_utf8_lossy(&buf).into_owned()
}

/// Compiles the teams' sections into one version.
///
/// # Errors
/// Returns every problem of the whole document.
pub fn compile<T: AsRef<str>>(
    version: Version,
    sections: &BTreeMap<TeamId, T>,
) -> Result<CompiledConfig, Vec<Problem>> {
    let parsed = sections.iter().map(|(team, text)| {
        let section = ParsedSection::parse(team, team, text.as_ref());
        (team.clone(), Arc::new(section))
    });
    merge(version, &parsed.collect())
}

/// Merges parsed sections into one version.
///
/// # Errors
/// Returns every problem of the whole document.
pub fn merge(
    version: Version,
    sections: &BTreeMap<TeamId, Arc<ParsedSection>>,
) -> Result<CompiledConfig, Vec<Problem>> {
    let mut merger = Merger::default();
    merger.compiled.version = version;
    for (team, section) in sections {
        merger.problems.extend(section.problems.iter().cloned());
        for entry in &section.entries {
            merger.add(team, entry);
        }
    }
    merger.finish()
}

#[derive(Default)]
struct Merger<'a> {
    compiled: CompiledConfig,
    problems: Vec<Problem>,
    /// The team and header of each entry, by kind and name.
    origins: HashMap<(&'static str, Name), (&'a str, &'a str)>,
}

impl<'a> Merger<'a> {
    fn add(&mut self, team: &'a str, parsed: &'a ParsedEntry) {
        // A document has one fleet, whatever its name.
        let name = if parsed.kind == "fleet" {
            Name::from("")
        } else {
            parsed.name.clone()
        };
        let origin = (team, parsed.header.as_str());
        if let Some((_, other)) = self.origins.insert((parsed.kind, name), origin) {
            let message = if parsed.kind == "fleet" {
                format!("the fleet is also in [{other}]; keep one")
            } else {
                format!(
                    "{} {} is also in [{other}]; keep one",
                    parsed.kind, parsed.name
                )
            };
            self.problems
                .push(section_problem(team, &parsed.header, message));
            return;
        }
        let Some(entry) = &parsed.entry else { return };
        let compiled = &mut self.compiled;
        match entry {
            Entry::Fleet(fleet) => {
                compiled.data_centres.clone_from(&fleet.data_centres);
                compiled.shares = fleet.shares;
            }
            Entry::Customer(customer) => {
                let id = customer.id.clone();
                compiled.customers.insert(id, customer.clone());
            }
            Entry::Key(key) => {
                if let Some(other) = compiled.keys.insert(key.hash, key.clone()) {
                    let message = format!("key {} has the same hash; keep one", other.name);
                    self.problems
                        .push(section_problem(team, &parsed.header, message));
                }
            }
            Entry::Route(route) => compiled.routes.push(Arc::new(route.clone())),
            Entry::Upstream(upstream) => {
                let upstream = Arc::new(upstream.clone());
                let pool = compiled.pools.entry(upstream.pool()).or_default();
                pool.push(upstream.clone());
                compiled.upstreams.insert(upstream.id.clone(), upstream);
            }
            Entry::Stop(stop) => compiled.stops.push(stop.clone()),
        }
    }

    fn finish(mut self) -> Result<CompiledConfig, Vec<Problem>> {
        let mut found = EntryProblems::default();
        self.check_keys(&mut found);
        self.check_upstreams(&mut found);
        self.check_routes(&mut found);
        found.sort();
        for (kind, name, message) in found {
            let (team, header) = self
                .origins
                .get(&(kind, name))
                .copied()
                .unwrap_or(("", kind));
            self.problems.push(section_problem(team, header, message));
        }
        if !self.problems.is_empty() {
            return Err(self.problems);
        }
        let compiled = &mut self.compiled;
        compiled.routes.sort_by(|a, b| {
            let by_length = b.path.len().cmp(&a.path.len());
            by_length.then_with(|| a.id.cmp(&b.id))
        });
        for pool in compiled.pools.values_mut() {
            pool.sort_by(|a, b| a.id.cmp(&b.id));
        }
        Ok(self.compiled)
    }

    fn check_keys(&self, found: &mut EntryProblems) {
        for key in self.compiled.keys.values() {
            if !self.has_entry("customer", &key.customer) {
                let message = format!(
                    "unknown customer {}; add it or correct the name",
                    key.customer
                );
                found.push(("key", key.name.clone(), message));
            }
            for route in &key.routes {
                if !self.has_entry("route", route) {
                    let message = format!("unknown route {route}; add it or correct the name");
                    found.push(("key", key.name.clone(), message));
                }
            }
        }
    }

    fn check_upstreams(&self, found: &mut EntryProblems) {
        let compiled = &self.compiled;
        if !self.has_entry("fleet", &Name::from("")) {
            let message = "no fleet; add a section [TEAM/fleet/main] with data_centres = ...";
            found.push(("fleet", "".into(), message.to_owned()));
        }
        for upstream in compiled.upstreams.values() {
            if !compiled.data_centres.contains(&upstream.data_centre) {
                let message = format!(
                    "unknown data centre {}; list it in fleet",
                    upstream.data_centre
                );
                found.push(("upstream", upstream.id.clone(), message));
            }
        }
        for stop in &compiled.stops {
            if let StopSubject::Upstream(id) = &stop.subject
                && !self.has_entry("upstream", id)
            {
                let message = format!("unknown upstream {id}; correct the name");
                found.push(("stop", stop.name.clone(), message));
            }
        }
    }

    fn check_routes(&self, found: &mut EntryProblems) {
        let mut by_path: HashMap<&String, &RouteId> = HashMap::new();
        for route in &self.compiled.routes {
            if let Some(other) = by_path.insert(&route.path, &route.id) {
                let message = format!("route {other} has the same path {}; change one", route.path);
                found.push(("route", route.id.clone(), message));
            }
        }
    }

    fn has_entry(&self, kind: &'static str, name: &Name) -> bool {
        self.origins.contains_key(&(kind, name.clone()))
    }
}

/// Problems with entries that refer to or conflict with others: the entry's kind and name, and the message.
type EntryProblems = Vec<(&'static str, Name, String)>;
