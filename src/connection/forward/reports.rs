//! Reports between hosts: one `bincode` message a datagram. A lost datagram does no harm, because each report replaces
//! the ones before; so no connection can go silent between hosts, and a host that doesn't read holds up no other.

use std::net::SocketAddr;

use async_trait::async_trait;
use tokio::net::UdpSocket;

use crate::connection::codec;
use crate::process::forwarding::peers::HostReport;
use crate::process::forwarding::report_exchange::ReportLink;

/// The largest report, in bytes; a datagram carries somewhat more.
const MAX_REPORT: usize = 60 << 10;

/// The socket for reports.
pub struct ReportSocket {
    socket: UdpSocket,
}

impl ReportSocket {
    /// Binds the socket.
    ///
    /// # Errors
    /// Returns the I/O error if the address can't be bound.
    pub async fn bind(address: SocketAddr) -> std::io::Result<Self> {
        let socket = UdpSocket::bind(address).await?;
        Ok(Self { socket })
    }

    /// Returns the address that was bound.
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
            Ok(bytes) if bytes.len() <= MAX_REPORT => bytes,
            Ok(bytes) => {
                log::warn!(target: "peers", "report of {} bytes not sent; the limit is {MAX_REPORT}", bytes.len());
                return;
            }
            Err(e) => {
                log::warn!(target: "peers", "report not sent: {e}");
                return;
            }
        };
        for address in to {
            if let Err(e) = self.socket.send_to(&bytes, address).await {
                log::debug!(target: "peers", "report to {address} not sent: {e}");
            }
        }
    }

    async fn receive(&self) -> HostReport {
        let mut buf = vec![0; MAX_REPORT];
        loop {
            let (size, from) = match self.socket.recv_from(&mut buf).await {
                Ok(received) => received,
                Err(e) => {
                    // An earlier datagram met a closed port; nothing was lost.
                    log::debug!(target: "peers", "no report received: {e}");
                    continue;
                }
            };
            match codec::decode_exactly::<HostReport, MAX_REPORT>(&buf[..size]) {
                Ok(report) => return report,
                Err(e) => log::warn!(target: "peers", "report from {from} not readable: {e}"),
            }
        }
    }
}
