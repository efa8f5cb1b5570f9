//! The `hibiscusspread` binary.

use std::process::ExitCode;

fn main() -> ExitCode {
    hibiscusspread::command::main()
}
