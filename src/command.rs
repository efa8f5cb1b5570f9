//! The command line.

pub mod config;
pub mod demo;
pub mod dump;
pub mod emulate;
pub mod load;
pub mod log_queue;
pub mod logging;
pub mod serve;
pub mod slopes;

use std::fmt::Display;
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use bpaf::Bpaf;

use crate::command::config::{ConfigCommand, config_command};
use crate::command::load::LoadOptions;

/// The exit status for invalid input.
const EXIT_USAGE: u8 = 2;

/// Router for separate prefill and decode pools of LLM engines, and for plain services
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
enum Command {
    /// Runs a host
    #[bpaf(command)]
    Serve {
        /// The settings file
        #[bpaf(argument("FILE"))]
        settings: PathBuf,
    },
    /// Checks a settings file and lists every problem
    #[bpaf(command)]
    Check {
        /// The settings file
        #[bpaf(argument("FILE"))]
        settings: PathBuf,
    },
    /// Checks, shows and changes the configuration document
    #[bpaf(command)]
    Config {
        #[bpaf(external(config_command))]
        command: ConfigCommand,
    },
    /// Runs two hosts with stand-ins for all outside systems, on loopback
    #[bpaf(command)]
    Demo {
        /// Sends one completion and one booking through the hosts, prints the answers and exits
        once: bool,
    },
    /// Runs stand-ins for store, list of hosts, engines and services, for hosts in other processes
    #[bpaf(command)]
    Emulate {
        /// The deployment that is emulated: tillicum, swanreach or demo
        #[bpaf(argument("NAME"), fallback("demo".to_owned()), display_fallback)]
        shape: String,
        /// The address of the store
        #[bpaf(argument("ADDR"))]
        store: SocketAddr,
        /// The address of the list of hosts
        #[bpaf(argument("ADDR"))]
        host_list: SocketAddr,
    },
    /// Prints the state of a running host
    #[bpaf(command)]
    Dump {
        /// The host's operators' address, such as 127.0.0.1:8081
        #[bpaf(positional("ADDR"))]
        address: String,
    },
    /// Drives requests through an emulated fleet or a running host and prints one table
    #[bpaf(command)]
    Load {
        /// The deployment whose requests are sent: tillicum or swanreach
        #[bpaf(argument("NAME"), fallback("tillicum".to_owned()), display_fallback)]
        shape: String,
        /// The loads as parts of the fleet's capacity, such as 0.5,1,1.3; one run each
        #[bpaf(argument("LIST"), fallback("0.5".to_owned()), display_fallback)]
        loads: String,
        /// The policies that choose upstreams, separated by commas: joint, `least_loaded`, `round_robin`; one run each at each load
        #[bpaf(argument("LIST"), fallback("joint".to_owned()), display_fallback)]
        policies: String,
        /// The length of each run, such as 20s
        #[bpaf(argument::<humantime::Duration>("TIME"), fallback(DEFAULT_LOAD_LENGTH.into()), display_fallback)]
        length: humantime::Duration,
        /// The seed of the arrivals
        #[bpaf(argument("NUMBER"), fallback(1), display_fallback)]
        seed: u64,
        /// Writes the table as JSON, too
        #[bpaf(argument("FILE"))]
        json: Option<PathBuf>,
        /// The callers' address of a running host; an emulated fleet is started without it
        #[bpaf(argument("ADDR"))]
        target: Option<String>,
        /// The caller's key for a running host
        #[bpaf(argument("KEY"))]
        key: Option<String>,
    },
    /// Measures the roles of a host one by one at several sizes and prints one table
    #[bpaf(command)]
    Slopes {
        /// The seed of the requests
        #[bpaf(argument("NUMBER"), fallback(1), display_fallback)]
        seed: u64,
        /// Measures only this role; may be given several times
        #[bpaf(argument("NAME"), many)]
        role: Vec<String>,
        /// Writes the table as JSON, too
        #[bpaf(argument("FILE"))]
        json: Option<PathBuf>,
    },
}

/// The default length of each load run.
const DEFAULT_LOAD_LENGTH: Duration = Duration::from_secs(20);

/// Why a command failed.
#[derive(Debug)]
pub enum CommandError {
    /// The input is invalid; the message says how to correct it.
    Usage(String),
    /// The command failed on valid input.
    Failed(String),
}

/// Runs the command that the arguments name.
pub fn main() -> ExitCode {
    let command = match command().run_inner(bpaf::Args::current_args()) {
        Ok(command) => command,
        Err(failure) => {
            failure.print_message(100);
            let is_help = failure.exit_code() == 0;
            return ExitCode::from(if is_help { 0 } else { EXIT_USAGE });
        }
    };
    let result = match command {
        Command::Serve { settings } => serve::run(&settings),
        Command::Check { settings } => serve::check(&settings),
        Command::Config { command } => config::run(&command),
        Command::Demo { once } => demo::run(once),
        Command::Emulate {
            shape,
            store,
            host_list,
        } => emulate::run(&shape, store, host_list),
        Command::Dump { address } => dump::run(&address),
        Command::Load {
            shape,
            loads,
            policies,
            length,
            seed,
            json,
            target,
            key,
        } => load::run(&LoadOptions {
            shape,
            loads,
            policies,
            length: length.into(),
            seed,
            json,
            target,
            key,
        }),
        Command::Slopes { seed, role, json } => slopes::run(seed, &role, json.as_deref()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(CommandError::Usage(message)) => {
            eprintln!("{message}");
            ExitCode::from(EXIT_USAGE)
        }
        Err(CommandError::Failed(message)) => {
            eprintln!("{message}");
            ExitCode::FAILURE
        }
    }
}

/// Builds the multi-threaded Tokio runtime.
///
/// # Errors
/// Returns `Failed` if its threads can't be started.
pub fn runtime() -> Result<tokio::runtime::Runtime, CommandError> {
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(|e| CommandError::Failed(format!("async runtime can't start: {e}")))
}

/// Returns a function that converts an error into `Failed`, with `what` before it.
pub fn failed<E: Display>(what: &str) -> impl FnOnce(E) -> CommandError {
    move |e| CommandError::Failed(format!("{what}: {e}"))
}

/// Prints to standard output. A broken pipe, as after `head` has exited, is no failure.
///
/// # Errors
/// Returns `Failed` if standard output can't be written for another reason.
pub fn print(text: &str) -> Result<(), CommandError> {
    print_to(&mut std::io::stdout(), text)
}

/// Prints to `out`, as `print` does.
///
/// # Errors
/// Returns `Failed` if `out` can't be written.
pub fn print_to(out: &mut dyn Write, text: &str) -> Result<(), CommandError> {
    match out.write_all(text.as_bytes()) {
        Err(e) if e.kind() != std::io::ErrorKind::BrokenPipe => {
            Err(failed("output can't be written")(e))
        }
        _ => Ok(()),
    }
}
