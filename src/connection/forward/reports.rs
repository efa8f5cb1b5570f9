//! Reports between hosts over UDP, one `bincode` message per datagram. A lost datagram does no harm, because each
//! report replaces the ones before. Without connections, none can go silent, and a host that doesn't read blocks no
//! other.
//!
//! Sections follow a report: each its number (one byte), its length (two bytes, little-endian) and its `bincode` body.

use std::net::SocketAddr;

use async_trait::async_trait;
use tokio::net::UdpSocket;

use crate::connection::codec;
use crate::prelude::*;
use crate::process::forwarding::cold::{ColdReport, MAX_REPORTED_UPSTREAMS};
use crate::process::forwarding::directory::OrderedStage;
use crate::process::forwarding::evacuation::EvacuationNews;
use crate::process::forwarding::peers::HostReport;
use crate::process::forwarding::report_exchange::ReportLink;
use crate::process::forwarding::report_sections::ReportSection;
use crate::process::forwarding::stage_load::StageSums;
use crate::process::forwarding::usage::QueuedTokens;
use crate::process::message::CrashId;
use crate::process::metrics;

/// The largest report, in bytes; a UDP datagram carries somewhat more.
const MAX_REPORT_BYTES: usize = 60 << 10;

/// The largest decoded section, in bytes.
const MAX_SECTION_BYTES: usize = 48 << 10;

/// The bytes before the body of a section: its number and its length.
const SECTION_HEAD_BYTES: usize = 3;

/// The numbers of sections. They are part of the protocol: a number is never given to another section.
const STORE_GENERATION: u8 = 1;
const EVACUATIONS: u8 = 2;
const COLD_ENGINES: u8 = 3;
const STAGE_LOAD: u8 = 6;
const STAGE_CHANGES: u8 = 7;
const QUEUED_TOKENS: u8 = 8;
const DISMISSED_CRASHES: u8 = 9;
const CRASH_TRIALS: u8 = 10;

/// Encodes a report and its sections. Sections that would make it too large are left out, those with the highest numbers first.
///
/// # Errors
/// Returns the cause if the report itself is too large or can't be encoded.
pub fn encode_report(report: &HostReport) -> Result<Vec<u8>, String> {
    let mut bytes = codec::encode(report)?;
    if bytes.len() > MAX_REPORT_BYTES {
        return Err(format!(
            "its {} bytes exceed {MAX_REPORT_BYTES}",
            bytes.len()
        ));
    }
    let mut sections = Vec::with_capacity(report.sections.len());
    for section in &report.sections {
        sections.push(encode_section(section)?);
    }
    sections.sort_by_key(|(number, _)| *number);
    for (number, body) in sections {
        let length = u16::try_from(body.len());
        let fits = bytes.len() + SECTION_HEAD_BYTES + body.len() <= MAX_REPORT_BYTES;
        match length {
            Ok(length) if fits => {
                bytes.push(number);
                bytes.extend_from_slice(&length.to_le_bytes());
                bytes.extend_from_slice(&body);
            }
            _ => {
                log::debug!(target: "peers", "section {number} of a report left out: no room for {} bytes", body.len());
            }
        }
    }
    Ok(bytes)
}

/// Decodes a report and the sections that this build knows. A section that can't be decoded is left out and counted.
///
/// # Errors
/// Returns the cause if the report itself is malformed.
pub fn decode_report(bytes: &[u8]) -> Result<HostReport, String> {
    let (mut report, mut rest) = codec::decode_first::<HostReport, MAX_REPORT_BYTES>(bytes)?;
    while !rest.is_empty() {
        let Some((number, body, next)) = split_section(rest) else {
            dropped_section("truncated", "it is truncated");
            break;
        };
        rest = next;
        match decode_section(number, body) {
            Some(Ok(section)) => report.sections.push(section),
            Some(Err(e)) => dropped_section("malformed", &e),
            // A section of a newer build.
            None => {}
        }
    }
    Ok(report)
}

fn encode_section(section: &ReportSection) -> Result<(u8, Vec<u8>), String> {
    match section {
        ReportSection::StoreGeneration(generation) => {
            Ok((STORE_GENERATION, codec::encode(generation)?))
        }
        ReportSection::Evacuations(news) => Ok((EVACUATIONS, codec::encode(news)?)),
        ReportSection::ColdEngines(reports) => Ok((COLD_ENGINES, codec::encode(reports)?)),
        ReportSection::StageLoad(sums) => Ok((STAGE_LOAD, codec::encode(sums)?)),
        ReportSection::StageChanges(changes) => Ok((STAGE_CHANGES, codec::encode(changes)?)),
        ReportSection::QueuedTokens(queued) => Ok((QUEUED_TOKENS, codec::encode(queued)?)),
        ReportSection::DismissedCrashes(crashes) => {
            Ok((DISMISSED_CRASHES, codec::encode(crashes)?))
        }
        ReportSection::CrashTrials(trials) => Ok((CRASH_TRIALS, codec::encode(trials)?)),
    }
}

/// Decodes the body of a section; `None` if this build doesn't know its number.
fn decode_section(number: u8, body: &[u8]) -> Option<Result<ReportSection, String>> {
    let section = match number {
        STORE_GENERATION => codec::decode_exactly::<Generation, MAX_SECTION_BYTES>(body)
            .map(ReportSection::StoreGeneration),
        EVACUATIONS => codec::decode_exactly::<EvacuationNews, MAX_SECTION_BYTES>(body)
            .map(ReportSection::Evacuations),
        COLD_ENGINES => decode_cold_engines(body).map(ReportSection::ColdEngines),
        STAGE_LOAD => codec::decode_exactly::<Vec<(ModelId, StageSums)>, MAX_SECTION_BYTES>(body)
            .map(ReportSection::StageLoad),
        STAGE_CHANGES => codec::decode_exactly::<Vec<OrderedStage>, MAX_SECTION_BYTES>(body)
            .map(ReportSection::StageChanges),
        QUEUED_TOKENS => codec::decode_exactly::<Vec<QueuedTokens>, MAX_SECTION_BYTES>(body)
            .map(ReportSection::QueuedTokens),
        DISMISSED_CRASHES => codec::decode_exactly::<Vec<CrashId>, MAX_SECTION_BYTES>(body)
            .map(ReportSection::DismissedCrashes),
        CRASH_TRIALS => codec::decode_exactly::<Vec<CrashId>, MAX_SECTION_BYTES>(body)
            .map(ReportSection::CrashTrials),
        _ => return None,
    };
    Some(section)
}

fn decode_cold_engines(body: &[u8]) -> Result<Vec<ColdReport>, String> {
    let reports = codec::decode_exactly::<Vec<ColdReport>, MAX_SECTION_BYTES>(body)?;
    if reports.len() > MAX_REPORTED_UPSTREAMS {
        return Err(format!("it names {} cold upstreams", reports.len()));
    }
    Ok(reports)
}

/// Splits off the first section: its number, its body, and the bytes after it.
fn split_section(bytes: &[u8]) -> Option<(u8, &[u8], &[u8])> {
    let (head, rest) = bytes.split_at_checked(SECTION_HEAD_BYTES)?;
    let length = usize::from(u16::from_le_bytes([head[1], head[2]]));
    let (body, rest) = rest.split_at_checked(length)?;
    Some((head[0], body, rest))
}

fn dropped_section(reason: &'static str, cause: &str) {
    ::metrics::counter!(metrics::REPORT_SECTIONS_DROPPED, "reason" => reason).increment(1);
    log::debug!(target: "peers", "section of a report dropped: {cause}");
}

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
        let bytes = match encode_report(report) {
            Ok(bytes) => bytes,
            Err(e) => {
                log::warn!(target: "peers", "report not sent: {e}");
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
            match decode_report(&buf[..size]) {
                Ok(report) => return report,
                Err(e) => {
                    ::metrics::counter!(metrics::REPORTS_DROPPED).increment(1);
                    log::warn!(target: "peers", "failed to decode a report from {from}: {e}");
                }
            }
        }
    }
}
