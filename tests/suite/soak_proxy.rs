//! A loopback proxy of the soak test: delays or resets the connections to one stand-in, or drops their bytes in one or
//! both directions.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};

/// What a proxy does with the bytes of its connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkMode {
    /// Bytes are forwarded.
    Forward,
    /// Bytes are forwarded after a delay.
    Delay(Duration),
    /// Bytes towards the stand-in are dropped. A connection that lost some forwards nothing more in that direction.
    DropToTarget,
    /// Bytes from the stand-in are dropped. A connection that lost some forwards nothing more in that direction.
    DropFromTarget,
    /// Bytes in both directions are dropped.
    DropBoth,
    /// Bytes of the connections that are open are dropped in both directions, for good; those of new ones are forwarded.
    SilenceOpen,
    /// Connections are closed, new ones at once.
    Reset,
}

/// The direction of bytes through a proxy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    ToTarget,
    FromTarget,
}

impl LinkMode {
    fn drops(self, direction: Direction) -> bool {
        match self {
            Self::DropBoth | Self::SilenceOpen => true,
            Self::DropToTarget => direction == Direction::ToTarget,
            Self::DropFromTarget => direction == Direction::FromTarget,
            Self::Forward | Self::Delay(_) | Self::Reset => false,
        }
    }
}

/// A running proxy; dropping it ends its connections.
pub struct Proxy {
    /// The address on which it listens.
    pub address: SocketAddr,
    mode: watch::Sender<LinkMode>,
    task: JoinHandle<()>,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Proxy {
    /// Starts a proxy in front of `target`.
    pub async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await;
        let listener = listener.expect("proxy listens");
        let address = listener.local_addr().expect("proxy has an address");
        let mode = watch::Sender::new(LinkMode::Forward);
        let task = tokio::spawn(accept(listener, target, mode.clone()));
        Self {
            address,
            mode,
            task,
        }
    }

    /// Changes how connections are treated, open ones included.
    pub fn set(&self, mode: LinkMode) {
        self.mode.send_replace(mode);
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, mode: watch::Sender<LinkMode>) {
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let Ok((client, _)) = listener.accept().await else {
            continue;
        };
        let mode = mode.subscribe();
        connections.spawn(async move {
            if let Ok(server) = TcpStream::connect(target).await {
                relay(client, server, mode).await;
            }
        });
    }
}

async fn relay(client: TcpStream, server: TcpStream, mut mode: watch::Receiver<LinkMode>) {
    // Without this, Nagle's algorithm delays small frames.
    if client.set_nodelay(true).is_err() || server.set_nodelay(true).is_err() {
        return;
    }
    let is_new = *mode.borrow() == LinkMode::SilenceOpen;
    let (client_rx, client_tx) = client.into_split();
    let (server_rx, server_tx) = server.into_split();
    tokio::select! {
        () = copy(client_rx, server_tx, mode.clone(), Direction::ToTarget, is_new) => {}
        () = copy(server_rx, client_tx, mode.clone(), Direction::FromTarget, is_new) => {}
        _ = mode.wait_for(|mode| *mode == LinkMode::Reset) => {}
    }
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mode: watch::Receiver<LinkMode>,
    direction: Direction,
    is_new: bool,
) {
    let mut buf = vec![0; 16 << 10];
    let mut is_dropping = false;
    loop {
        let size = match from.read(&mut buf).await {
            Ok(0) | Err(_) => return,
            Ok(size) => size,
        };
        let now = *mode.borrow();
        if let LinkMode::Delay(delay) = now {
            tokio::time::sleep(delay).await;
        }
        let is_spared = is_new && now == LinkMode::SilenceOpen;
        is_dropping |= now.drops(direction) && !is_spared;
        if !is_dropping && to.write_all(&buf[..size]).await.is_err() {
            return;
        }
    }
}
