//! `demo`: two hosts with emulators of all external systems, in one process on loopback.

use std::time::Duration;

use http_body_util::{BodyExt, Full};
use hyper::Request;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use crate::command::{CommandError, failed, logging, print, runtime};
use crate::connection::http_client::HttpClient;
use crate::emulator::environment::caller_key;
use crate::emulator::fleet::Fleet;
use crate::load::shape::Shape;
use crate::prelude::*;
use crate::process::settings::Settings;
use crate::request::flow::FlowSettings;

/// The timeout of the demo's own requests.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(20);

/// The admission wait of the demo's hosts. In the first seconds after the start of a fleet no host holds allowance.
const START_ADMISSION_WAIT: Duration = Duration::from_secs(15);

/// Runs the demo until interrupted, or sends one request of each kind with `once`.
///
/// # Errors
/// Returns `Failed` if the demo can't start or a request fails.
pub fn run(once: bool) -> Result<(), CommandError> {
    let _logger = logging::start("error")?;
    let mut signals =
        Signals::new([SIGTERM, SIGINT]).map_err(failed("signals can't be handled"))?;
    let shape = Shape::demo();
    let settings = Settings {
        requests: FlowSettings {
            admission_wait: START_ADMISSION_WAIT,
            ..FlowSettings::default()
        },
        ..Settings::default()
    };
    runtime()?.block_on(async {
        let fleet = Fleet::start(&shape, settings).await;
        let demo = Demo {
            fleet: fleet.map_err(failed("demo can't start"))?,
            key: caller_key(&shape.customers[0].id),
        };
        if once {
            demo.request_once().await?;
        } else {
            demo.print_usage();
            let wait = tokio::task::spawn_blocking(move || signals.forever().next());
            wait.await.map_err(failed("signals can't be awaited"))?;
        }
        demo.fleet.drain().await;
        Ok(())
    })
}

/// A running fleet and the key for requests to it.
struct Demo {
    fleet: Fleet,
    key: String,
}

impl Demo {
    fn print_usage(&self) {
        for node in &self.fleet.nodes {
            let operators = node.operators_address.map(|a| a.to_string());
            println!(
                "host: callers http://{}, operators http://{}",
                node.callers_address,
                operators.unwrap_or_default()
            );
        }
        if let Some(node) = self.fleet.nodes.first() {
            println!(
                "curl -N http://{}/v1/completions -H 'Authorization: Bearer {}' \
                 -H 'Content-Type: application/json' \
                 -d '{{\"model\":\"forecast\",\"prompt\":\"Coast tonight\",\"max_tokens\":16,\"stream\":true}}'",
                node.callers_address, self.key
            );
        }
    }

    async fn request_once(&self) -> Result<(), CommandError> {
        let completion = self
            .post(
                "/v1/completions",
                r#"{"model":"forecast","prompt":"Coast tonight","max_tokens":16,"stream":true}"#,
            )
            .await?;
        print(&completion)?;
        if !completion.ends_with("data: [DONE]\n\n") {
            let message = "completion ended without data: [DONE]".to_owned();
            return Err(CommandError::Failed(message));
        }
        let booking = self
            .post("/bookings/studio-2", r#"{"slot":"18:00"}"#)
            .await?;
        print(&format!("{booking}\n"))
    }

    async fn post(&self, path: &str, body: &'static str) -> Result<String, CommandError> {
        let node = self.fleet.nodes.first();
        let address = node
            .map(|n| n.callers_address.to_string())
            .unwrap_or_default();
        let req = Request::post(format!("http://{address}{path}"))
            .header("authorization", format!("Bearer {}", self.key))
            .header("content-type", "application/json")
            .header(
                "idempotency-key",
                format!("{:032x}", rand::random::<RequestId>()),
            )
            .body(Full::from(body))
            .map_err(failed("request can't be built"))?;
        let client = HttpClient::default();
        let response = client.send(req, REQUEST_TIMEOUT).await;
        let response = response.map_err(failed("host did not answer"))?;
        let status = response.status();
        let body = response.into_body().collect().await;
        let body = body.map_err(failed("answer ended early"))?.to_bytes();
        let text = String::from_utf8_lossy(&body).into_owned();
        if status.is_success() {
            Ok(text)
        } else {
            Err(CommandError::Failed(format!(
                "{path} answered {status}: {text}"
            )))
        }
    }
}
