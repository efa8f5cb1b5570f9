//! Reads INI fields into typed values and collects every problem instead of stopping at the first.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use ini::{Ini, Properties};

use crate::process::stated_time::MAX_STATED_TIME;

/// A problem in a settings file or a configuration document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// The file, or the team whose section it was read from.
    pub source: String,
    /// The header of the INI section.
    pub section: String,
    /// The key; empty if the problem concerns the whole section.
    pub key: String,
    /// What is wrong and how to correct it.
    pub message: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: [{}]", self.source, self.section)?;
        if !self.key.is_empty() {
            write!(f, " {}", self.key)?;
        }
        write!(f, ": {}", self.message)
    }
}

/// Formats problems, one a line.
pub fn list_problems(problems: &[Problem]) -> String {
    let lines: Vec<_> = problems.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

/// Parses INI text without escapes; `source` names the text in the problem.
///
/// # Errors
/// Returns the position of the syntax error as a problem.
pub fn parse_ini(source: &str, text: &str) -> Result<Ini, Problem> {
    Ini::load_from_str_noescape(text).map_err(|e| Problem {
        source: source.to_owned(),
        section: String::new(),
        key: String::new(),
        message: format!("line {}, column {}: {}", e.line, e.col, e.msg),
    })
}

/// Reads the keys of one INI section; `finish` reports those that were not read as unknown.
pub struct Fields<'a> {
    source: &'a str,
    section: &'a str,
    properties: Option<&'a Properties>,
    known_keys: Vec<&'a str>,
    problems: &'a mut Vec<Problem>,
}

impl<'a> Fields<'a> {
    /// Starts reading a section; `properties` is `None` if the section is absent.
    pub fn new(
        source: &'a str,
        section: &'a str,
        properties: Option<&'a Properties>,
        problems: &'a mut Vec<Problem>,
    ) -> Self {
        Self {
            source,
            section,
            properties,
            known_keys: Vec::new(),
            problems,
        }
    }

    /// Records a problem with `key`; an empty key means the whole section.
    pub fn problem(&mut self, key: &str, message: impl Into<String>) {
        self.problems.push(Problem {
            source: self.source.to_owned(),
            section: self.section.to_owned(),
            key: key.to_owned(),
            message: message.into(),
        });
    }

    /// Reads a string; `None` if the key is absent.
    pub fn text(&mut self, key: &'a str) -> Option<&'a str> {
        self.known_keys.push(key);
        let mut all = self.properties?.get_all(key);
        let value = all.next()?.trim();
        if all.next().is_some() {
            self.problem(key, "given more than once; keep one of them");
        }
        Some(value)
    }

    /// Reads all keys of a section whose keys are names, each with its value. Records a problem for each key given more than once.
    pub fn entries(&mut self) -> Vec<(&'a str, &'a str)> {
        let mut entries: Vec<(&str, &str)> = Vec::new();
        for (key, value) in self.properties.into_iter().flat_map(Properties::iter) {
            if self.known_keys.contains(&key) {
                self.problem(key, "given more than once; keep one of them");
                continue;
            }
            self.known_keys.push(key);
            entries.push((key, value.trim()));
        }
        entries
    }

    /// Reads a mandatory string; returns an empty one and records a problem if it is missing or empty.
    pub fn required(&mut self, key: &'a str) -> &'a str {
        match self.text(key) {
            Some(value) if !value.is_empty() => value,
            _ => {
                self.problem(key, "missing; add it");
                ""
            }
        }
    }

    /// Parses a value; `default` if it is absent, or malformed, which is recorded. `what` names the expected form.
    pub fn value<T: FromStr>(&mut self, key: &'a str, what: &str, default: T) -> T {
        let Some(text) = self.text(key) else {
            return default;
        };
        text.parse().unwrap_or_else(|_| {
            self.problem(key, format!("{text:?} is not {what}"));
            default
        })
    }

    /// Parses a mandatory value; returns `fallback` and records a problem if it is missing or malformed.
    pub fn required_value<T: FromStr>(&mut self, key: &'a str, what: &str, fallback: T) -> T {
        if self.text(key).is_none() {
            self.problem(key, format!("missing; give {what}"));
            return fallback;
        }
        self.value(key, what, fallback)
    }

    /// Reads a duration such as `250ms`, `2s` or `90m`.
    pub fn duration(&mut self, key: &'a str, default: Duration) -> Duration {
        let Some(text) = self.text(key) else {
            return default;
        };
        let problem = match humantime::parse_duration(text) {
            Ok(duration) if duration <= MAX_STATED_TIME => return duration,
            Ok(_) => "longer than a year; give a shorter time".to_owned(),
            Err(e) => format!("{e}; write for example 250ms, 2s or 90m"),
        };
        self.problem(key, format!("{text:?}: {problem}"));
        default
    }

    /// Reads `yes` or `no`.
    pub fn flag(&mut self, key: &'a str, default: bool) -> bool {
        match self.text(key) {
            None => default,
            Some("yes") => true,
            Some("no") => false,
            Some(other) => {
                self.problem(key, format!("{other:?} is neither yes nor no"));
                default
            }
        }
    }

    /// Reads one of the words in `choices` and returns its value.
    pub fn choice<T: Copy>(&mut self, key: &'a str, choices: &[(&str, T)], default: T) -> T {
        let Some(text) = self.text(key) else {
            return default;
        };
        if let Some((_, value)) = choices.iter().find(|(word, _)| *word == text) {
            return *value;
        }
        let words: Vec<_> = choices.iter().map(|(word, _)| *word).collect();
        self.problem(key, format!("{text:?} is not one of {}", words.join(", ")));
        default
    }

    /// Reads a comma-separated list; empty if absent.
    pub fn list(&mut self, key: &'a str) -> Vec<&'a str> {
        let text = self.text(key).unwrap_or_default();
        text.split(',')
            .map(str::trim)
            .filter(|word| !word.is_empty())
            .collect()
    }

    /// Records a problem for each key that was not read.
    pub fn finish(mut self) {
        let Some(properties) = self.properties else {
            return;
        };
        let unknown: Vec<_> = properties
            .iter()
            .map(|(key, _)| key)
            .filter(|key| !self.known_keys.contains(key))
            .collect();
        for key in unknown {
            let known = self.known_keys.join(", ");
            self.problem(key, format!("unknown key; known keys are {known}"));
        }
    }
}
