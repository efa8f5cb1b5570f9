//! Mutual authentication by the shared secret at the start of a connection.

use std::fmt;

use blake3::Hash;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

use crate::connection::peer::{PROTOCOL_VERSION, PeerIdentity, decode, encode};
use crate::prelude::*;

/// The largest packet of a handshake, in bytes; names of hosts and data centres are short.
const MAX_PACKET_BYTES: usize = 1024;

/// The secret that all hosts share.
#[derive(Clone)]
pub struct PeerSecret([u8; 32]);

impl PeerSecret {
    /// Derives the secret key from the text in the settings.
    pub fn new(text: &str) -> Self {
        Self(blake3::derive_key(
            "hibiscusspread peer secret v1",
            text.as_bytes(),
        ))
    }
}

impl fmt::Debug for PeerSecret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PeerSecret")
    }
}

/// The first message of each side, sent in plain text.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// The protocol version, which must be the same on both sides.
    pub version: u16,
    /// The sending host.
    pub host: HostId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Tells the sending process from earlier ones on the same host.
    pub incarnation: Incarnation,
    /// Random bytes that prevent the replay of a proof on another connection.
    pub nonce: [u8; 32],
}

impl Hello {
    fn new(identity: &PeerIdentity) -> Self {
        Self {
            version: PROTOCOL_VERSION,
            host: identity.host.clone(),
            data_centre: identity.data_centre.clone(),
            incarnation: identity.incarnation,
            nonce: rand::random(),
        }
    }
}

/// The result of a handshake, with the MAC keys of the connection.
#[derive(Debug, Clone)]
pub struct Session {
    /// The authenticated identity of the other side.
    pub peer: PeerIdentity,
    /// Signs frames from the connecting side.
    pub request_key: [u8; 32],
    /// Signs frames from the accepting side.
    pub reply_key: [u8; 32],
}

/// Runs the connecting side: verifies the accepting side's proof of the secret, then sends its own.
///
/// # Errors
/// Returns the cause if the connection broke or the other side could not be authenticated.
pub async fn client_handshake(
    stream: &mut (impl AsyncRead + AsyncWrite + Unpin),
    identity: &PeerIdentity,
    secret: &PeerSecret,
) -> Result<Session, String> {
    let mine = Hello::new(identity);
    write_packet(stream, &encode(&mine)?).await?;
    let theirs: Hello = decode(&read_packet(stream).await?)?;
    let proof = read_packet(stream).await?;
    let transcript = Transcript::new(secret, &mine, &theirs)?;
    check_version(&theirs)?;
    transcript.verify("accepting", &proof)?;
    write_packet(stream, transcript.mac("connecting").as_bytes()).await?;
    Ok(transcript.session(theirs))
}

/// Runs the accepting side: sends its proof of the secret, then verifies the connecting side's.
///
/// # Errors
/// Returns the cause if the connection broke or the other side could not be authenticated.
pub async fn server_handshake(
    stream: &mut (impl AsyncRead + AsyncWrite + Unpin),
    identity: &PeerIdentity,
    secret: &PeerSecret,
) -> Result<Session, String> {
    let theirs: Hello = decode(&read_packet(stream).await?)?;
    check_version(&theirs)?;
    let mine = Hello::new(identity);
    let transcript = Transcript::new(secret, &theirs, &mine)?;
    write_packet(stream, &encode(&mine)?).await?;
    write_packet(stream, transcript.mac("accepting").as_bytes()).await?;
    let proof = read_packet(stream).await?;
    transcript.verify("connecting", &proof)?;
    Ok(transcript.session(theirs))
}

fn check_version(hello: &Hello) -> Result<(), String> {
    if hello.version == PROTOCOL_VERSION {
        return Ok(());
    }
    Err(format!(
        "host {} speaks protocol version {}, not {PROTOCOL_VERSION}; run the same release",
        hello.host, hello.version
    ))
}

/// The key of one handshake, derived from the secret and both hellos.
struct Transcript {
    key: [u8; 32],
}

impl Transcript {
    fn new(secret: &PeerSecret, connecting: &Hello, accepting: &Hello) -> Result<Self, String> {
        let hellos = encode(&(connecting, accepting))?;
        let key = *blake3::keyed_hash(&secret.0, &hellos).as_bytes();
        Ok(Self { key })
    }

    fn mac(&self, label: &str) -> Hash {
        blake3::keyed_hash(&self.key, label.as_bytes())
    }

    fn verify(&self, label: &str, proof: &[u8]) -> Result<(), String> {
        // `Hash` compares in constant time.
        let matches = <[u8; 32]>::try_from(proof).is_ok_and(|p| self.mac(label) == Hash::from(p));
        matches
            .then_some(())
            .ok_or_else(|| "the other side uses another peer secret; check [peer]".to_owned())
    }

    fn session(&self, peer: Hello) -> Session {
        Session {
            peer: PeerIdentity {
                host: peer.host,
                data_centre: peer.data_centre,
                incarnation: peer.incarnation,
            },
            request_key: *self.mac("questions").as_bytes(),
            reply_key: *self.mac("answers").as_bytes(),
        }
    }
}

async fn write_packet(stream: &mut (impl AsyncWrite + Unpin), packet: &[u8]) -> Result<(), String> {
    let length = u16::try_from(packet.len()).map_err(|e| e.to_string())?;
    let mut bytes = length.to_le_bytes().to_vec();
    bytes.extend_from_slice(packet);
    stream.write_all(&bytes).await.map_err(|e| e.to_string())
}

async fn read_packet(stream: &mut (impl AsyncRead + Unpin)) -> Result<Vec<u8>, String> {
    let length = stream.read_u16_le().await.map_err(|e| e.to_string())?;
    let length = usize::from(length);
    if length > MAX_PACKET_BYTES {
        return Err(format!(
            "handshake packet of {length} bytes exceeds {MAX_PACKET_BYTES}"
        ));
    }
    let mut packet = vec![0; length];
    let read = stream.read_exact(&mut packet).await;
    read.map_err(|e| e.to_string())?;
    Ok(packet)
}
