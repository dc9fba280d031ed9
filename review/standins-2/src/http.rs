//! Reading and writing of HTTP/1.1 messages over TCP.

use std::io::{Error, ErrorKind, Read, Result};
use std::net::TcpStream;
use std::time::Duration;

const READ_BUFFER_BYTES: usize = 64 << 10;

/// The start line and header fields of a message.
#[derive(Debug, Clone)]
pub struct Head {
    pub start_line: String,
    fields: Vec<(String, String)>,
}

impl Head {
    /// Returns the value of a field; `name` is in lower case.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    /// Returns a word of the start line.
    pub fn word(&self, index: usize) -> &str {
        self.start_line.split(' ').nth(index).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    pub fn content_length(&self) -> usize {
        self.field("content-length").and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    fn is_chunked(&self) -> bool {
        self.field("transfer-encoding").is_some_and(|text| text.eq_ignore_ascii_case("chunked"))
    }
}

/// A response whose whole body was read.
pub struct Response {
    pub head: Head,
}

/// Reads messages from a stream.
pub struct Reader {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, buffer: Vec::new() }
    }

    pub fn set_timeout(&self, timeout: Duration) -> Result<()> {
        self.stream.set_read_timeout(Some(timeout))
    }

    /// Reads more bytes into the buffer; an end of the stream is an error.
    fn fill(&mut self) -> Result<()> {
        let mut bytes = [0; READ_BUFFER_BYTES];
        let count = self.stream.read(&mut bytes)?;
        if count == 0 {
            return Err(Error::from(ErrorKind::UnexpectedEof));
        }
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(())
    }

    /// Reads up to and including a blank line, and returns the head before it.
    pub fn head(&mut self) -> Result<Head> {
        let end = loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                break end;
            }
            self.fill()?;
        };
        let rest = self.buffer.split_off(end + 4);
        let bytes = std::mem::replace(&mut self.buffer, rest);
        let text = String::from_utf8_lossy(&bytes[..end]).into_owned();
        let mut lines = text.split("\r\n");
        let start_line = lines.next().unwrap_or("").to_owned();
        let fields = lines.filter_map(|line| line.split_once(':'));
        let fields = fields.map(|(key, value)| (key.to_ascii_lowercase(), value.trim().to_owned()));
        Ok(Head { start_line, fields: fields.collect() })
    }

    /// Reads some of the next bytes, at most `max`.
    pub fn some(&mut self, max: usize) -> Result<Vec<u8>> {
        if self.buffer.is_empty() {
            self.fill()?;
        }
        let rest = self.buffer.split_off(self.buffer.len().min(max));
        Ok(std::mem::replace(&mut self.buffer, rest))
    }

    /// Reads exactly `count` bytes.
    pub fn exact(&mut self, count: usize) -> Result<Vec<u8>> {
        while self.buffer.len() < count {
            self.fill()?;
        }
        let rest = self.buffer.split_off(count);
        Ok(std::mem::replace(&mut self.buffer, rest))
    }

    fn line(&mut self) -> Result<String> {
        let end = loop {
            if let Some(end) = find(&self.buffer, b"\r\n") {
                break end;
            }
            self.fill()?;
        };
        let bytes = self.exact(end + 2)?;
        Ok(String::from_utf8_lossy(&bytes[..end]).into_owned())
    }

    /// Reads the body that belongs to a head.
    pub fn body(&mut self, head: &Head) -> Result<Vec<u8>> {
        if !head.is_chunked() {
            return self.exact(head.content_length());
        }
        let mut body = Vec::new();
        loop {
            let line = self.line()?;
            let size = line.split(';').next().unwrap_or("");
            let size = usize::from_str_radix(size.trim(), 16)
                .map_err(|_| Error::from(ErrorKind::InvalidData))?;
            if size == 0 {
                while !self.line()?.is_empty() {}
                return Ok(body);
            }
            let mut chunk = self.exact(size + 2)?;
            chunk.truncate(size);
            body.extend_from_slice(&chunk);
        }
    }

    /// Reads a response with its whole body.
    pub fn response(&mut self) -> Result<Response> {
        let head = self.head()?;
        self.body(&head)?;
        Ok(Response { head })
    }
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|window| window == pattern)
}
