//! The cases 11 to 15 and their stand-ins of the platform's store, runners and clients. They use the standard library only.
//!
//! `stand-ins CASE FOLDER` runs a case in the repository and writes `record.txt` into FOLDER. It exits with 1 if the rule was broken, 0 if
//! it held, and 2 if the case couldn't run. With `TROUBLE=0` the disruption is left out.

mod client;
mod host;
mod http;
mod json;
mod record;
mod runner;
mod store;

#[path = "../11/case.rs"]
mod case_11;
#[path = "../12/case.rs"]
mod case_12;
#[path = "../13/case.rs"]
mod case_13;
#[path = "../14/case.rs"]
mod case_14;
#[path = "../15/case.rs"]
mod case_15;

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;

use crate::record::Record;

/// What a case was run for.
pub struct Run {
    pub record: Arc<Record>,
    /// A temporary folder for settings and logs.
    pub folder: PathBuf,
    pub has_trouble: bool,
}

/// The result of a case.
pub enum Verdict {
    Held,
    Broken,
    NotRun(String),
}

fn main() -> ExitCode {
    let words: Vec<_> = std::env::args().collect();
    let (Some(case), Some(folder)) = (words.get(1), words.get(2)) else {
        eprintln!("usage: stand-ins CASE FOLDER");
        return ExitCode::from(2);
    };
    let temporary = std::env::temp_dir().join(format!("hibiscusspread-review-{}", std::process::id()));
    if let Err(e) = std::fs::create_dir_all(&temporary) {
        eprintln!("no temporary folder: {e}");
        return ExitCode::from(2);
    }
    let run = Run {
        record: Arc::new(Record::create(&Path::new(folder).join("record.txt"))),
        folder: temporary.clone(),
        has_trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    run.record.line(format_args!("case {case}, disruption: {}", if run.has_trouble { "yes" } else { "no" }));
    let verdict = match case.as_str() {
        "11" => case_11::run(&run),
        "12" => case_12::run(&run),
        "13" => case_13::run(&run),
        "14" => case_14::run(&run),
        "15" => case_15::run(&run),
        other => Verdict::NotRun(format!("no case {other}")),
    };
    if std::env::var_os("KEEP_LOGS").is_none() {
        let _ = std::fs::remove_dir_all(&temporary);
    }
    let (code, text) = match verdict {
        Verdict::Held => (0, "the rule held".to_owned()),
        Verdict::Broken => (1, "the rule was broken".to_owned()),
        Verdict::NotRun(cause) => (2, format!("the case couldn't run: {cause}")),
    };
    run.record.line(text);
    ExitCode::from(code)
}
