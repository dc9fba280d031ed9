//! On a hosting platform: servers that answer uploads before these are in, with odd heads, framings and
//! ends. What a caller takes for a success is a whole response that a server sent.

use std::path::Path;
use std::time::Duration;

use testkit::{
    HostedFleet, RawConnection, RawRequest, RawServer, exchange_bytes, load_header, request_text,
};
use tokio::time::sleep;

const DAEMON_PATH: &str = env!("CARGO_BIN_EXE_mustardraild");

/// Bytes of bodies up to which both directions are buffered.
const BUFFERED_BYTES: usize = 1 << 20;

/// Returns the bytes of a response whose body ends with the connection.
fn unframed_response(status_line: &str, request: &RawRequest, body: &str) -> String {
    let headers = request.response_headers() + &load_header("0,0,4,100");
    format!("{status_line}\r\n{headers}\r\n{body}")
}

/// A server that answers a request when it has read its head, before the body is in, with bytes whose
/// last part it leaves out, and resets the connection.
async fn start_resetting_server(status_line: &'static str, sent_bytes: usize) -> RawServer {
    RawServer::start("s-0", move |mut connection: RawConnection| async move {
        loop {
            let request = connection.next_head().await?;
            if request.is_probe() {
                connection.respond("200 OK", &load_header("0,0,4,100"), "").await?;
                continue;
            }
            let body = "x".repeat(sent_bytes + 1_000);
            let text = unframed_response(status_line, &request, &body);
            connection.send(&text[..text.len() - 1_000]).await?;
            // The first bytes reach the caller before the end.
            sleep(Duration::from_millis(200)).await;
            connection.reset();
            return None;
        }
    })
    .await
}

/// Guards against MIXED: a server resets the connection in the middle of a body without a length, while
/// the upload is still being written, and the caller takes the part for the whole.
#[tokio::test(flavor = "multi_thread")]
async fn part_of_an_unframed_response_to_an_upload_is_no_success() {
    for status_line in ["HTTP/1.0 200 OK", "HTTP/1.1 200 OK"] {
        for sent_bytes in [1_000, BUFFERED_BYTES - 1, BUFFERED_BYTES + 1, 2 * BUFFERED_BYTES] {
            let server = start_resetting_server(status_line, sent_bytes).await;
            let servers = std::slice::from_ref(&server);
            let fleet = HostedFleet::start_with(Path::new(DAEMON_PATH), Vec::new(), servers).await;
            for version in ["HTTP/1.0", "HTTP/1.1"] {
                let order = fleet.order_request("");
                let text = request_text(&order).replace("HTTP/1.1", version);
                let length = 6 * BUFFERED_BYTES;
                let head = format!("connection: close\r\ncontent-length: {length}\r\n\r\n");
                let mut bytes = (text.trim_end().to_owned() + "\r\n" + &head).into_bytes();
                bytes.resize(bytes.len() + length, b'u');
                let response = exchange_bytes(order.address, bytes).await;
                let success = response.filter(|response| response.status == "200");
                let length = success.map(|success| success.body.len());
                let case = format!("{sent_bytes} bytes of {status_line}, caller with {version}");
                assert_eq!(length, None, "{case}");
            }
        }
    }
}
