//! HTTP/1.1 over blocking sockets.

use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;

/// The head of a message: its first line and its headers, with names in lower case.
#[derive(Debug, Clone)]
pub struct Head {
    pub line: String,
    pub headers: HashMap<String, String>,
}

impl Head {
    /// Returns a header; empty if it is missing.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// Returns the method of a request.
    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or_default()
    }

    /// Returns the path of a request, with its query.
    pub fn path(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    /// Returns the status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or_default()
    }
}

/// Reads messages from a connection.
pub struct Reader {
    socket: TcpStream,
    held: Vec<u8>,
}

impl Reader {
    pub fn new(socket: &TcpStream) -> io::Result<Self> {
        Ok(Self {
            socket: socket.try_clone()?,
            held: Vec::new(),
        })
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut buf = [0; 64 << 10];
        let read = self.socket.read(&mut buf)?;
        if read == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.held.extend_from_slice(&buf[..read]);
        Ok(())
    }

    fn until(&mut self, mark: &[u8]) -> io::Result<Vec<u8>> {
        loop {
            let found = self.held.windows(mark.len()).position(|bytes| bytes == mark);
            if let Some(at) = found {
                return Ok(self.held.drain(..at + mark.len()).collect());
            }
            self.fill()?;
        }
    }

    fn exactly(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.held.len() < count {
            self.fill()?;
        }
        Ok(self.held.drain(..count).collect())
    }

    /// Reads a head.
    pub fn head(&mut self) -> io::Result<Head> {
        let bytes = self.until(b"\r\n\r\n")?;
        let text = String::from_utf8_lossy(&bytes);
        let mut lines = text.trim_end().split("\r\n");
        let line = lines.next().unwrap_or_default().to_owned();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers = headers.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()));
        Ok(Head {
            line,
            headers: headers.collect(),
        })
    }

    /// Reads the body that follows a head: chunked, or of a stated length.
    pub fn body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        if !head.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
            return self.exactly(head.header("content-length").parse().unwrap_or(0));
        }
        let mut body = Vec::new();
        loop {
            let line = self.until(b"\r\n")?;
            let size = String::from_utf8_lossy(&line).trim().to_owned();
            let size = usize::from_str_radix(&size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
            let chunk = self.exactly(size + 2)?;
            if size == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }
}

/// Accepts connections on loopback and handles each on a thread of its own. Returns the port.
pub fn listen(handle: impl Fn(TcpStream) -> io::Result<()> + Send + Sync + Clone + 'static) -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").expect("no free port");
    let port = listener.local_addr().expect("no address").port();
    thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || {
                let _ = socket.set_nodelay(true);
                let _ = handle(socket);
            });
        }
    });
    port
}

/// Sends a response with a body of stated length. `headers` ends each line with CR LF.
pub fn respond(socket: &mut TcpStream, status: u16, headers: &str, body: &[u8]) -> io::Result<()> {
    let head = format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
    let mut message = head.into_bytes();
    message.extend_from_slice(body);
    socket.write_all(&message)
}
