//! HTTP/1.1 messages on blocking sockets.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request or a response.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// The request line or the status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// A connection with the bytes that were read beyond the last message.
pub struct Connection {
    pub stream: TcpStream,
    rest: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, rest: Vec::new() }
    }

    pub fn open(address: SocketAddr, wait: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, wait)?;
        stream.set_read_timeout(Some(wait))?;
        Ok(Self::new(stream))
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut buffer = [0; 16384];
        let count = self.stream.read(&mut buffer)?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.rest.extend_from_slice(&buffer[..count]);
        Ok(())
    }

    /// Reads one message with a body of known length, or in chunks.
    pub fn read(&mut self) -> io::Result<Message> {
        let end = loop {
            if let Some(end) = self.rest.windows(4).position(|window| window == b"\r\n\r\n") {
                break end;
            }
            self.fill()?;
        };
        let head = String::from_utf8_lossy(&self.rest[..end]).into_owned();
        self.rest.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let start = lines.next().unwrap_or("").to_owned();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers = headers.map(|(key, value)| (key.trim().into(), value.trim().into()));
        let mut message = Message { start, headers: headers.collect(), body: Vec::new() };
        let chunked = message.header("transfer-encoding").is_some();
        if chunked {
            message.body = self.read_chunks()?;
            return Ok(message);
        }
        let length = message.header("content-length").and_then(|text| text.parse().ok());
        let length: usize = length.unwrap_or(0);
        while self.rest.len() < length {
            self.fill()?;
        }
        message.body = self.rest.drain(..length).collect();
        Ok(message)
    }

    fn read_chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let end = loop {
                if let Some(end) = self.rest.windows(2).position(|window| window == b"\r\n") {
                    break end;
                }
                self.fill()?;
            };
            let size = String::from_utf8_lossy(&self.rest[..end]).into_owned();
            let size = usize::from_str_radix(size.trim(), 16).unwrap_or(0);
            while self.rest.len() < end + 2 + size + 2 {
                self.fill()?;
            }
            body.extend_from_slice(&self.rest[end + 2..end + 2 + size]);
            self.rest.drain(..end + 2 + size + 2);
            if size == 0 {
                return Ok(body);
            }
        }
    }

    /// Whether the other end has closed the connection. Bytes that arrived are kept for `read`.
    pub fn is_closed(&mut self) -> bool {
        let mut byte = [0; 1];
        let _ = self.stream.set_nonblocking(true);
        let peeked = self.stream.peek(&mut byte);
        let _ = self.stream.set_nonblocking(false);
        match peeked {
            Ok(0) => true,
            Ok(_) => false,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

/// Encodes a response with a body.
pub fn response(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Decodes the query of a target into pairs.
pub fn query(target: &str) -> Vec<(String, String)> {
    let query = target.split_once('?').map_or("", |(_, query)| query);
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.map(|(key, value)| (decode(key), decode(value))).collect()
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        match bytes[at] {
            b'+' => decoded.push(b' '),
            b'%' if at + 2 < bytes.len() => {
                decoded.push(u8::from_str_radix(&text[at + 1..at + 3], 16).unwrap_or(b'?'));
                at += 2;
            }
            byte => decoded.push(byte),
        }
        at += 1;
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
