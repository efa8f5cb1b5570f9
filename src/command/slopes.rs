//! `slopes`: measures the roles of a host and prints one table.

use std::path::Path;

use crate::command::failed;
use crate::command::load::write_file;
use crate::command::{CommandError, logging};
use crate::load::slopes::table::{json, text};
use crate::load::slopes::{Sizes, measure};

/// Measures the roles in `only`, or all if it is empty; prints a table and writes the values to `file` as JSON.
///
/// # Errors
/// Returns `Failed` if a role does not exist or can't be measured, or if the file can't be written.
pub fn run(seed: u64, only: &[String], file: Option<&Path>) -> Result<(), CommandError> {
    let _logger = logging::start("error")?;
    if let Some(path) = file {
        // A file that can't be written is reported now rather than after the run.
        write_file(path, "[]")?;
    }
    if cfg!(debug_assertions) {
        eprintln!("this is not a release build; its CPU times are too high");
    }
    let series = measure(&Sizes::default(), seed, only).map_err(failed("slopes"))?;
    print!("{}", text(&series));
    file.map_or(Ok(()), |path| write_file(path, &json(&series)))
}
