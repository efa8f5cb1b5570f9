//! `config`: checks, shows and edits the configuration document, in files and in the store.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use bpaf::Bpaf;

use crate::command::{CommandError, print_to as print, runtime};
use crate::connection::store::{HttpStore, StoreClientSettings};
use crate::prelude::*;
use crate::version::document::compile_text;
use crate::version::fields::{Problem, list_problems};
use crate::version::key::{format_hash, hash_key};
use crate::version::repository::error::RepositoryError;
use crate::version::repository::{Edit, Repository};

/// The maximum length of a key in bytes; proxies and load balancers limit the size of headers.
const MAX_KEY_BYTES: u64 = 4_096;

/// Commands
#[derive(Debug, Clone, PartialEq, Eq, Bpaf)]
pub enum ConfigCommand {
    /// Checks a whole document in a file and lists every problem; needs no store
    #[bpaf(command)]
    Check {
        /// The document
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Prints the document in force, or one team's section, with its version
    #[bpaf(command)]
    Show {
        /// The address of the store
        #[bpaf(argument("ADDR"))]
        store: String,
        /// The team
        #[bpaf(argument("TEAM"))]
        team: Option<String>,
    },
    /// Checks the document with a team's section from a file and puts it in force
    #[bpaf(command)]
    Put {
        /// The address of the store
        #[bpaf(argument("ADDR"))]
        store: String,
        /// The edit
        #[bpaf(external(edit_options))]
        options: EditOptions,
        /// The section
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Removes a team's section
    #[bpaf(command)]
    Remove {
        /// The address of the store
        #[bpaf(argument("ADDR"))]
        store: String,
        /// The edit
        #[bpaf(external(edit_options))]
        options: EditOptions,
    },
    /// Lists who changed what and when, newest first
    #[bpaf(command)]
    History {
        /// The address of the store
        #[bpaf(argument("ADDR"))]
        store: String,
        /// The number of edits
        #[bpaf(argument("COUNT"), fallback(20))]
        limit: usize,
    },
    /// Reads a key from standard input and prints the line with its hash
    #[bpaf(command("hash-key"))]
    HashKey,
}

/// The edit
#[derive(Debug, Clone, PartialEq, Eq, Bpaf)]
pub struct EditOptions {
    /// The team that owns the section
    #[bpaf(argument("TEAM"))]
    pub team: String,
    /// Your name, for the history
    #[bpaf(argument("NAME"))]
    pub by: String,
    /// The version that the edit is based on; without it, the one in the file's first line, or else the newest
    #[bpaf(argument("VERSION"))]
    pub base: Option<Version>,
    /// The version to exceed, after the store was restored from an old backup
    #[bpaf(argument("VERSION"), fallback(0))]
    pub above: Version,
}

/// Runs a `config` command.
///
/// # Errors
/// Returns `Usage` for invalid input and `Failed` if the store fails or the edit conflicts with another.
pub fn run(command: &ConfigCommand) -> Result<(), CommandError> {
    let out = &mut std::io::stdout();
    match command {
        ConfigCommand::Check { file } => check(file, out),
        ConfigCommand::HashKey => print_key_hash(&mut std::io::stdin(), out),
        ConfigCommand::Show { store, team } => {
            let repository = connect(store)?;
            runtime()?.block_on(show(&repository, team.as_deref(), out))
        }
        ConfigCommand::Put {
            store,
            options,
            file,
        } => {
            let text = read_file(file)?;
            let repository = connect(store)?;
            runtime()?.block_on(put(&repository, options, file, &text, out))
        }
        ConfigCommand::Remove { store, options } => {
            let repository = connect(store)?;
            runtime()?.block_on(remove(&repository, options, out))
        }
        ConfigCommand::History { store, limit } => {
            let repository = connect(store)?;
            runtime()?.block_on(history(&repository, *limit, out))
        }
    }
}

/// Opens the configuration in the store at `address`.
fn connect(address: &str) -> Result<Repository, CommandError> {
    let address: SocketAddr = address.parse().map_err(|_| {
        let message =
            format!("--store {address:?} is not an address; write for example 10.1.0.2:9000");
        CommandError::Usage(message)
    })?;
    let store = HttpStore::new(&address.to_string(), StoreClientSettings::default());
    Ok(Repository::new(Arc::new(store), Arc::new(SystemClock)))
}

/// Checks a whole document.
///
/// # Errors
/// Returns `Usage` with every problem.
pub fn check(file: &Path, out: &mut dyn Write) -> Result<(), CommandError> {
    let text = read_file(file)?;
    let source = file.display().to_string();
    let compiled = compile_text(&source, 1, &text)
        .map_err(|problems| CommandError::Usage(list_problems(&problems)))?;
    print(
        out,
        &format!(
            "{source}: no problems; {} customers, {} keys, {} routes, {} upstreams, {} planned stops\n",
            compiled.customers.len(),
            compiled.keys.len(),
            compiled.routes.len(),
            compiled.upstreams.len(),
            compiled.stops.len()
        ),
    )
}

/// Prints the document or one team's section.
///
/// # Errors
/// Returns `Usage` for an unknown team and `Failed` if the store fails.
pub async fn show(
    repository: &Repository,
    team: Option<&str>,
    out: &mut dyn Write,
) -> Result<(), CommandError> {
    let mut head = repository.read_head(0).await?.head;
    if let Some(team) = team {
        head.sections.retain(|section| &*section.team == team);
        if head.sections.is_empty() {
            return Err(RepositoryError::NoSection { team: team.into() }.into());
        }
    } else {
        print(out, &format!("# version {}\n", head.version))?;
    }
    let have = BTreeMap::new();
    let texts = repository.read_texts(&head, &have).await?;
    for section in &head.sections {
        let text = texts.get(&section.team).map_or("", |text| text);
        let line = base_line_prefix(&section.team);
        let version = section.version;
        print(out, &format!("{line}{version}\n{}\n", text.trim_end()))?;
    }
    Ok(())
}

/// Puts a team's section in force; `file` names it in problems.
///
/// # Errors
/// Returns `Usage` with every problem and `Failed` if the store fails or the edit conflicts with another.
pub async fn put(
    repository: &Repository,
    options: &EditOptions,
    file: &Path,
    text: &str,
    out: &mut dyn Write,
) -> Result<(), CommandError> {
    let (shown, text) = split_base_line(&options.team, text);
    let edit = Edit {
        team: options.team.as_str().into(),
        text: Some(text.to_owned()),
        by: options.by.clone(),
        base: options.base.or(shown),
        above: options.above,
    };
    match repository.edit(&edit).await {
        Ok(done) => print(out, &format!("version {} accepted\n", done.version)),
        Err(RepositoryError::Invalid(problems)) => {
            let source = file.display().to_string();
            // Problems in other teams' sections keep the team as their source.
            Err(usage_error(&source, &options.team, problems))
        }
        Err(error) => Err(error.into()),
    }
}

/// Removes a team's section.
///
/// # Errors
/// As for `put`.
pub async fn remove(
    repository: &Repository,
    options: &EditOptions,
    out: &mut dyn Write,
) -> Result<(), CommandError> {
    let edit = Edit {
        team: options.team.as_str().into(),
        text: None,
        by: options.by.clone(),
        base: options.base,
        above: options.above,
    };
    let done = repository.edit(&edit).await?;
    print(out, &format!("version {} accepted\n", done.version))
}

/// Lists edits, newest first.
///
/// # Errors
/// Returns `Failed` if the store fails.
pub async fn history(
    repository: &Repository,
    limit: usize,
    out: &mut dyn Write,
) -> Result<(), CommandError> {
    for record in repository.history(limit).await? {
        let at = humantime::format_rfc3339_seconds(record.at);
        let what = match (&record.section, &record.previous) {
            (Some(_), Some(previous)) => format!("changed, before in {}", previous.version),
            (Some(_), None) => "added".to_owned(),
            (None, _) => "removed".to_owned(),
        };
        let (version, team, by) = (record.version, &record.team, &record.by);
        let edit = record.edit;
        print(
            out,
            &format!("{version} {at} team {team} {what}, by {by} (edit {edit:032x})\n"),
        )?;
    }
    Ok(())
}

/// Reads a key from `input` and prints the line with its hash for the configuration document.
///
/// # Errors
/// Returns `Usage` if the key can't be sent in a header.
pub fn print_key_hash(input: &mut dyn Read, out: &mut dyn Write) -> Result<(), CommandError> {
    let mut text = String::new();
    let read = input.take(MAX_KEY_BYTES + 2).read_to_string(&mut text);
    read.map_err(|e| CommandError::Usage(format!("standard input: {e}; give the key as text")))?;
    let key = text.trim_end_matches(['\r', '\n']);
    if key.is_empty()
        || !key.chars().all(|c| c.is_ascii_graphic())
        || key.len() as u64 > MAX_KEY_BYTES
    {
        let message = format!(
            "standard input: not a key; give up to {MAX_KEY_BYTES} printable ASCII characters without spaces"
        );
        return Err(CommandError::Usage(message));
    }
    print(out, &format!("hash = {}\n", format_hash(&hash_key(key))))
}

/// Returns the start of the line in which `show` prints the version of a section, and from which `put` takes the
/// version that an edit is based on.
fn base_line_prefix(team: &str) -> String {
    format!("# team {team}, version ")
}

/// Strips the line that `show` prints before a section, if it is the first one, and returns its version.
fn split_base_line<'a>(team: &str, text: &'a str) -> (Option<Version>, &'a str) {
    let (first, rest) = text.split_once('\n').unwrap_or((text, ""));
    let version = first.trim_end().strip_prefix(&base_line_prefix(team));
    match version.and_then(|version| version.parse().ok()) {
        Some(version) => (Some(version), rest),
        None => (None, text),
    }
}

fn read_file(file: &Path) -> Result<String, CommandError> {
    std::fs::read_to_string(file).map_err(|e| {
        CommandError::Usage(format!(
            "{}: can't be read ({e}); check the path",
            file.display()
        ))
    })
}

fn usage_error(source: &str, team: &str, mut problems: Vec<Problem>) -> CommandError {
    for problem in &mut problems {
        if problem.source == team {
            source.clone_into(&mut problem.source);
        }
    }
    CommandError::Usage(list_problems(&problems))
}

impl From<RepositoryError> for CommandError {
    fn from(error: RepositoryError) -> Self {
        let message = error.to_string();
        match error {
            RepositoryError::Invalid(_)
            | RepositoryError::NoSection { .. }
            | RepositoryError::TooLarge { .. } => Self::Usage(message),
            _ => Self::Failed(message),
        }
    }
}
