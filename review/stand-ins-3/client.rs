//! A client that sends one request on a connection of its own.

use std::io::{self, Write};
use std::net::TcpStream;
use std::time::Duration;

use crate::http::Reader;

/// A request.
#[derive(Default)]
pub struct Request<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub id: &'a str,
    /// `X-Deadline-Ms`.
    pub deadline_ms: u64,
    /// The client's key; empty for none.
    pub key: &'a str,
    /// Further headers; each line ends with CR LF.
    pub headers: &'a str,
    pub body: &'a [u8],
}

/// Sends a request and returns the connection.
pub fn send(port: u16, request: &Request<'_>) -> io::Result<TcpStream> {
    let mut socket = TcpStream::connect(("127.0.0.1", port))?;
    socket.set_read_timeout(Some(Duration::from_millis(request.deadline_ms + 2000)))?;
    let key = if request.key.is_empty() { String::new() } else { format!("Authorization: Token {}\r\n", request.key) };
    let head = format!(
        "{} {} HTTP/1.1\r\nHost: host.example\r\nX-Request-Id: {}\r\nX-Deadline-Ms: {}\r\n{key}{}Content-Length: {}\r\n\r\n",
        request.method,
        request.path,
        request.id,
        request.deadline_ms,
        request.headers,
        request.body.len()
    );
    let mut message = head.into_bytes();
    message.extend_from_slice(request.body);
    socket.write_all(&message)?;
    Ok(socket)
}

/// Sends a request and returns the status and the `Retry-After` of its answer; status 0 without a whole answer.
pub fn ask(port: u16, request: &Request<'_>) -> (u16, String) {
    let answer = || -> io::Result<(u16, String)> {
        let socket = send(port, request)?;
        let mut reader = Reader::new(&socket)?;
        let head = reader.head()?;
        reader.body(&head)?;
        Ok((head.status(), head.header("retry-after").to_owned()))
    };
    answer().unwrap_or_default()
}
