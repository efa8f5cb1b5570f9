//! HTTP/1.1 as the stand-ins need it: requests and answers are read to their end, and answers are written as raw bytes.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

/// A request or the answer to one.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// The first line.
    pub start: String,
    /// The headers in their order, names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map_or("", |(_, value)| value)
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    /// The request target, path and query.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target().split_once('?')?;
        let value = query.split('&').find_map(|pair| {
            let (key, value) = pair.split_once('=')?;
            (key == name).then_some(value)
        })?;
        Some(decode_percent(value))
    }

    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|s| s.parse().ok()).unwrap_or_default()
    }
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3);
        match (bytes[at], hex.and_then(|h| u8::from_str_radix(h, 16).ok())) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
                at += 3;
            }
            (byte, _) => {
                decoded.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Reads the head of a message; `None` if the connection ended before it.
pub fn read_head(from: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = Vec::new();
    loop {
        line.clear();
        if from.read_until(b'\n', &mut line)? == 0 {
            return Ok(None);
        }
        let text = String::from_utf8_lossy(&line);
        let text = text.trim_end_matches(['\r', '\n']);
        if message.start.is_empty() {
            if text.is_empty() {
                continue;
            }
            message.start = text.to_owned();
        } else if text.is_empty() {
            return Ok(Some(message));
        } else if let Some((name, value)) = text.split_once(':') {
            let name = name.trim().to_ascii_lowercase();
            message.headers.push((name, value.trim().to_owned()));
        }
    }
}

/// Reads a body in chunks. Fails if the connection ends before the last chunk.
fn read_chunks(from: &mut impl BufRead, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let mut line = String::new();
        if from.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let size = line.trim().split(';').next().unwrap_or_default();
        let size = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
        let start = body.len();
        body.resize(start + size, 0);
        from.read_exact(&mut body[start..])?;
        let mut end = String::new();
        if from.read_line(&mut end)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        if size == 0 {
            return Ok(());
        }
    }
}

/// Reads a whole request; `None` if the connection ended before it.
pub fn read_request(from: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(from)? else {
        return Ok(None);
    };
    if message.header("transfer-encoding").contains("chunked") {
        read_chunks(from, &mut message.body)?;
    } else if let Ok(length) = message.header("content-length").parse() {
        message.body.resize(length, 0);
        from.read_exact(&mut message.body)?;
    }
    Ok(Some(message))
}

/// An answer as a client reads it.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    pub message: Message,
    /// Whether the body ended as its framing says.
    pub is_complete: bool,
    /// Why it isn't complete.
    pub error: String,
}

/// Reads an answer. Its body ends as RFC 9112 says for a client that gets it.
pub fn read_answer(from: &mut impl BufRead) -> Answer {
    let mut answer = Answer::default();
    match read_head(from) {
        Ok(Some(message)) => answer.message = message,
        Ok(None) => {
            answer.error = "closed without an answer".to_owned();
            return answer;
        }
        Err(e) => {
            answer.error = e.to_string();
            return answer;
        }
    }
    let message = &mut answer.message;
    let read = if message.header("transfer-encoding").contains("chunked") {
        read_chunks(from, &mut message.body)
    } else if let Ok(length) = message.header("content-length").parse::<u64>() {
        let read = from.take(length).read_to_end(&mut message.body);
        read.and_then(|read| match read as u64 == length {
            true => Ok(()),
            false => Err(io::ErrorKind::UnexpectedEof.into()),
        })
    } else {
        from.read_to_end(&mut message.body).map(drop)
    };
    answer.is_complete = read.is_ok();
    answer.error = read.err().map_or(String::new(), |e| e.to_string());
    answer
}

/// Connects and sends `request`, then reads one answer.
pub fn call(to: SocketAddr, request: &[u8], timeout: Duration) -> Answer {
    let connect = || -> io::Result<BufReader<TcpStream>> {
        let mut socket = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
        socket.set_nodelay(true)?;
        socket.set_read_timeout(Some(timeout))?;
        socket.write_all(request)?;
        Ok(BufReader::new(socket))
    };
    match connect() {
        Ok(mut reader) => read_answer(&mut reader),
        Err(e) => Answer {
            error: e.to_string(),
            ..Answer::default()
        },
    }
}

/// Binds a free port of the loopback address.
pub fn bind() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("no free port");
    let address = listener.local_addr().expect("no address");
    (listener, address)
}

/// Returns a port that was free a moment ago, for a process that binds it itself.
pub fn free_port() -> u16 {
    bind().1.port()
}

/// Runs `serve` in a thread for each connection.
pub fn serve(listener: TcpListener, serve: impl Fn(TcpStream) + Send + Sync + 'static) {
    let serve = std::sync::Arc::new(serve);
    thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let serve = serve.clone();
            let _ = socket.set_nodelay(true);
            thread::spawn(move || serve(socket));
        }
    });
}

/// Builds an answer with a JSON body.
pub fn json_answer(status: u16, headers: &str, body: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n{headers}\r\n{body}",
        body.len()
    )
    .into_bytes()
}
