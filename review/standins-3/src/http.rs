//! HTTP/1.1 heads and bodies on blocking connections.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

#[derive(Debug, Clone, Default)]
pub struct Message {
    /// Request line or status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|(key, _)| key.eq_ignore_ascii_case(name));
        found.next().map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads a head; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return match message.first.is_empty() {
                true => Ok(None),
                false => Err(io::ErrorKind::UnexpectedEof.into()),
            };
        }
        let line = line.trim_end_matches(['\r', '\n']);
        if message.first.is_empty() {
            message.first = line.to_owned();
        } else if line.is_empty() {
            return Ok(Some(message));
        } else if let Some((key, value)) = line.split_once(':') {
            message.headers.push((key.to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads the body that the head announces; none without a length.
pub fn read_body(reader: &mut impl BufRead, message: &mut Message) -> io::Result<()> {
    let is_chunked =
        message.header("transfer-encoding").is_some_and(|value| value.ends_with("chunked"));
    if is_chunked {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let size = usize::from_str_radix(line.trim().split(';').next().unwrap_or(""), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(());
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    }
    let length = message.header("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body)
}

pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    read_body(reader, &mut message)?;
    Ok(Some(message))
}

/// Writes a message with a length.
pub fn write_message(
    stream: &mut impl Write,
    first: &str,
    headers: &[(&str, String)],
    body: &[u8],
) -> io::Result<()> {
    let mut bytes = format!("{first}\r\n").into_bytes();
    for (key, value) in headers {
        bytes.extend_from_slice(format!("{key}: {value}\r\n").as_bytes());
    }
    bytes.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Sends one request on a new connection, and reads the whole response.
pub fn call(
    address: SocketAddr,
    first: &str,
    headers: &[(&str, String)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Message> {
    let until = Instant::now() + timeout;
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(
        until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1)),
    ))?;
    write_message(&mut stream, first, headers, body)?;
    let mut reader = BufReader::new(stream);
    read_message(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof.into())
}
