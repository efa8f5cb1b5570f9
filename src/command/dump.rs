//! `dump`: prints the state of a running host.

use std::io::Read;
use std::time::Duration;

use oxhttp::Client;
use oxhttp::model::{Body, Request};

use crate::command::{CommandError, print};

/// The time within which the host has to answer.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Prints the state of the host whose operators' port is at `address`.
///
/// # Errors
/// Returns `Usage` for an address that does not parse and `Failed` if the host does not answer.
pub fn run(address: &str) -> Result<(), CommandError> {
    let req = Request::builder()
        .uri(format!("http://{address}/dump"))
        .body(Body::empty())
        .map_err(|e| {
            let message =
                format!("{address:?}: {e}; give the operators' address, such as 127.0.0.1:8081");
            CommandError::Usage(message)
        })?;
    let failed = |cause: &dyn std::fmt::Display| {
        CommandError::Failed(format!(
            "no dump from {address} ({cause}); check [operators] address and that the host runs"
        ))
    };
    let client = Client::new().with_global_timeout(TIMEOUT);
    let response = client.request(req).map_err(|e| failed(&e))?;
    let mut text = String::new();
    response
        .into_body()
        .read_to_string(&mut text)
        .map_err(|e| failed(&e))?;
    let value: serde_json::Value = serde_json::from_str(&text).map_err(|e| failed(&e))?;
    print(&format!("{value:#}\n"))
}
