//! Reports between hosts over UDP, one `bincode` message per datagram. A lost datagram does no harm, because each
//! report replaces the ones before. Without connections, none can go silent, and a host that doesn't read blocks no
//! other.

use std::net::SocketAddr;

use async_trait::async_trait;
use tokio::net::UdpSocket;

use crate::connection::codec;
use crate::process::forwarding::peers::HostReport;
use crate::process::forwarding::report_exchange::ReportLink;
use crate::process::metrics;

/// The largest report, in bytes; a UDP datagram carries somewhat more.
const MAX_REPORT_BYTES: usize = 60 << 10;

/// The UDP socket on which reports are sent and received.
pub struct ReportSocket {
    socket: UdpSocket,
}

impl ReportSocket {
    /// Binds a UDP socket to `address`.
    ///
    /// # Errors
    /// Returns the I/O error if the address can't be bound.
    pub async fn bind(address: SocketAddr) -> std::io::Result<Self> {
        let socket = UdpSocket::bind(address).await?;
        Ok(Self { socket })
    }

    /// Returns the address that the socket is bound to, with the port that was chosen for port 0.
    ///
    /// # Errors
    /// Returns the I/O error of the socket.
    pub fn address(&self) -> std::io::Result<SocketAddr> {
        self.socket.local_addr()
    }
}

#[async_trait]
impl ReportLink for ReportSocket {
    async fn send(&self, to: &[SocketAddr], report: &HostReport) {
        let bytes = match codec::encode(report) {
            Ok(bytes) if bytes.len() <= MAX_REPORT_BYTES => bytes,
            Ok(bytes) => {
                log::warn!(target: "peers", "report not sent: its {} bytes exceed {MAX_REPORT_BYTES}", bytes.len());
                return;
            }
            Err(e) => {
                log::warn!(target: "peers", "failed to encode a report: {e}");
                return;
            }
        };
        for address in to {
            if let Err(e) = self.socket.send_to(&bytes, address).await {
                log::debug!(target: "peers", "failed to send a report to {address}: {e}");
            }
        }
    }

    async fn receive(&self) -> HostReport {
        let mut buf = vec![0; MAX_REPORT_BYTES];
        loop {
            let (size, from) = match self.socket.recv_from(&mut buf).await {
                Ok(received) => received,
                Err(e) => {
                    // An earlier datagram was sent to a closed port; no incoming report was lost.
                    log::debug!(target: "peers", "failed to receive a report: {e}");
                    continue;
                }
            };
            match codec::decode_exactly::<HostReport, MAX_REPORT_BYTES>(&buf[..size]) {
                Ok(report) => return report,
                Err(e) => {
                    ::metrics::counter!(metrics::REPORTS_DROPPED).increment(1);
                    log::warn!(target: "peers", "failed to decode a report from {from}: {e}");
                }
            }
        }
    }
}
