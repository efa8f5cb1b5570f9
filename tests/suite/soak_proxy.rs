//! A loopback proxy of the fault soak: delays, resets, cuts one way and silences the connections to one stand-in.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};

/// How a proxy treats its connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Passage {
    /// Bytes pass.
    Open,
    /// Bytes pass after a while.
    Delayed(Duration),
    /// Bytes towards the stand-in vanish. A connection that lost some stays silent for good.
    CutForth,
    /// Bytes from the stand-in vanish. A connection that lost some stays silent for good.
    CutBack,
    /// Bytes of both ways vanish.
    Silent,
    /// Connections end, new ones at once.
    Reset,
}

/// The way of bytes through a proxy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    Forth,
    Back,
}

impl Passage {
    fn swallows(self, way: Way) -> bool {
        match self {
            Self::Silent => true,
            Self::CutForth => way == Way::Forth,
            Self::CutBack => way == Way::Back,
            Self::Open | Self::Delayed(_) | Self::Reset => false,
        }
    }
}

/// A running proxy; dropping it ends its connections.
pub struct Proxy {
    /// Where it listens.
    pub address: SocketAddr,
    passage: watch::Sender<Passage>,
    task: JoinHandle<()>,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Proxy {
    /// Starts a proxy before `target`.
    pub async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await;
        let listener = listener.expect("proxy listens");
        let address = listener.local_addr().expect("proxy has an address");
        let passage = watch::Sender::new(Passage::Open);
        let task = tokio::spawn(accept(listener, target, passage.clone()));
        Self {
            address,
            passage,
            task,
        }
    }

    /// Changes how connections are treated, open ones included.
    pub fn set(&self, passage: Passage) {
        self.passage.send_replace(passage);
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, passage: watch::Sender<Passage>) {
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let Ok((near, _)) = listener.accept().await else {
            continue;
        };
        let passage = passage.subscribe();
        connections.spawn(async move {
            if let Ok(far) = TcpStream::connect(target).await {
                join(near, far, passage).await;
            }
        });
    }
}

async fn join(near: TcpStream, far: TcpStream, mut passage: watch::Receiver<Passage>) {
    // Small frames must not wait for each other.
    if near.set_nodelay(true).is_err() || far.set_nodelay(true).is_err() {
        return;
    }
    let (near_in, near_out) = near.into_split();
    let (far_in, far_out) = far.into_split();
    tokio::select! {
        () = pump(near_in, far_out, passage.clone(), Way::Forth) => {}
        () = pump(far_in, near_out, passage.clone(), Way::Back) => {}
        _ = passage.wait_for(|passage| *passage == Passage::Reset) => {}
    }
}

async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    passage: watch::Receiver<Passage>,
    way: Way,
) {
    let mut buf = vec![0; 16 << 10];
    let mut is_dead = false;
    loop {
        let size = match from.read(&mut buf).await {
            Ok(0) | Err(_) => return,
            Ok(size) => size,
        };
        let now = *passage.borrow();
        if let Passage::Delayed(delay) = now {
            tokio::time::sleep(delay).await;
        }
        is_dead |= now.swallows(way);
        if !is_dead && to.write_all(&buf[..size]).await.is_err() {
            return;
        }
    }
}
