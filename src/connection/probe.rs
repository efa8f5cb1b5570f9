//! Probes over HTTP whether an upstream is down.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use http_body_util::Full;
use hyper::Request;

use crate::connection::http_client::HttpClient;
use crate::prelude::*;
use crate::process::quarantine::UpstreamProbe;

/// The time limit of one probe. A timeout does not count as down: the upstream may be slow.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// The wait before the second probe. The first one may have hit a broken pooled connection or a process that is still
/// exiting.
const SECOND_PROBE_DELAY: Duration = Duration::from_millis(100);

/// Probes upstreams with a GET of `/`; any response shows that the upstream is up.
#[derive(Clone, Default)]
pub struct HttpProbe {
    client: HttpClient,
}

#[async_trait]
impl UpstreamProbe for HttpProbe {
    async fn is_down(&self, address: SocketAddr) -> bool {
        if self.answers(address).await {
            return false;
        }
        tokio::time::sleep(SECOND_PROBE_DELAY).await;
        !self.answers(address).await
    }
}

impl HttpProbe {
    async fn answers(&self, address: SocketAddr) -> bool {
        let req = Request::get(format!("http://{address}/")).body(Full::default());
        let Ok(req) = req else {
            return true;
        };
        match self.client.send(req, PROBE_TIMEOUT).await {
            Ok(_) => true,
            Err(e) => !matches!(
                e.kind,
                UpstreamErrorKind::Unreachable | UpstreamErrorKind::Broken
            ),
        }
    }
}
