//! What a caller takes for a response, from the bytes that it received.

use std::future::pending;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use platform::wire_interface;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Longest time until the connection ends.
const END_TIMEOUT: Duration = Duration::from_secs(60);

/// Bytes that are written at once.
const WRITE_BYTES: usize = 64 << 10;

/// A response that looks complete.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CompleteResponse {
    /// The three characters of the status.
    pub status: String,
    /// Request ID; empty if there is none.
    pub id: String,
    /// Whether it bears a server's signature.
    pub is_signed: bool,
    /// The body without its framing.
    pub body: Vec<u8>,
}

/// Sends bytes, of which those after the head may be refused, while it reads until the connection ends.
/// Returns the final response, or `None` if there is none that looks complete. The request has to ask
/// for the end of the connection.
pub async fn exchange_bytes(address: SocketAddr, request: Vec<u8>) -> Option<CompleteResponse> {
    let (mut reader, mut writer) = TcpStream::connect(address).await.ok()?.into_split();
    // The kernel reports a reset once, to the write or to the read.
    let is_reset = AtomicBool::new(false);
    let writing = async {
        for part in request.chunks(WRITE_BYTES) {
            if let Err(error) = writer.write_all(part).await {
                is_reset.store(error.kind() == ErrorKind::ConnectionReset, Ordering::SeqCst);
                break;
            }
        }
        // The caller closes its end only after the response.
        pending::<()>().await;
    };
    let mut received = Vec::new();
    let reading = timeout(END_TIMEOUT, reader.read_to_end(&mut received));
    let read = tokio::select! {
        biased;
        read = reading => read.expect("the connection ends"),
        () = writing => unreachable!("the write half stays open"),
    };
    let has_ended = read.is_ok() && !is_reset.load(Ordering::SeqCst);
    parse_response(&received, has_ended)
}

/// Returns the final response in the bytes that were received. `has_ended` says that the connection
/// ended without a reset, which is the end of a body without a length.
fn parse_response(received: &[u8], has_ended: bool) -> Option<CompleteResponse> {
    let end = received.windows(4).position(|window| window == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&received[..end]).to_lowercase();
    let rest = &received[end..];
    let status = head.split(' ').nth(1).unwrap_or_default().trim().to_owned();
    if status.starts_with('1') && status != "101" {
        return parse_response(rest, has_ended);
    }
    let field = |name: &str| {
        let line = head.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(": "));
        line.map(|value| value.trim().to_owned())
    };
    let names = wire_interface().headers;
    let has_no_body = ["204", "304", "101"].contains(&&*status);
    let body = if has_no_body {
        Vec::new()
    } else if field("transfer-encoding").is_some() {
        decode_chunks(rest)?
    } else if let Some(length) = field("content-length") {
        rest.get(..length.parse().ok()?)?.to_vec()
    } else {
        has_ended.then(|| rest.to_vec())?
    };
    let is_signed = field(names.signature.as_str()).is_some();
    let id = field(names.request_id.as_str()).unwrap_or_default();
    Some(CompleteResponse { status, id, is_signed, body })
}

/// Returns the content of chunks; `None` without the last one.
fn decode_chunks(mut bytes: &[u8]) -> Option<Vec<u8>> {
    let mut content = Vec::new();
    loop {
        let end = bytes.windows(2).position(|window| window == b"\r\n")?;
        let size = usize::from_str_radix(std::str::from_utf8(&bytes[..end]).ok()?, 16).ok()?;
        bytes = &bytes[end + 2..];
        if size == 0 {
            return bytes.starts_with(b"\r\n").then_some(content);
        }
        content.extend_from_slice(bytes.get(..size)?);
        bytes = bytes.get(size + 2..)?;
    }
}
