//! A relay that sends recorded messages, as an earlier version of the daemon does.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use tokio::net::TcpStream;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::interval;
use tokio_tungstenite::accept_async;
use tokio_tungstenite::tungstenite::{Error, Message};

use crate::reserved_ports::listen_at_new_port;

/// Interval at which the last message is repeated.
const REPEAT_INTERVAL: Duration = Duration::from_millis(200);

/// A relay on a loopback port.
pub struct RecordedRelay {
    /// The address at which it listens.
    pub address: SocketAddr,
    subscriptions: Arc<AtomicU64>,
    task: JoinHandle<()>,
}

impl Drop for RecordedRelay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl RecordedRelay {
    /// Starts a relay that sends these messages to each subscriber, and repeats the last one.
    pub async fn start(messages: Vec<Bytes>) -> Self {
        let listener = listen_at_new_port();
        let address = listener.local_addr().expect("a bound socket has an address");
        let subscriptions = Arc::<AtomicU64>::default();
        let counter = Arc::clone(&subscriptions);
        let messages: Arc<[Bytes]> = messages.into();
        let task = tokio::spawn(async move {
            let mut connections = JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                counter.fetch_add(1, Ordering::SeqCst);
                let messages = Arc::clone(&messages);
                // Fails when the subscriber leaves.
                connections.spawn(async move { send_messages(stream, &messages).await });
            }
        });
        Self { address, subscriptions, task }
    }

    /// Number of subscriptions so far.
    pub fn subscription_count(&self) -> u64 {
        self.subscriptions.load(Ordering::SeqCst)
    }
}

async fn send_messages(stream: TcpStream, messages: &[Bytes]) -> Result<(), Error> {
    let mut socket = accept_async(stream).await?;
    // The versions that the subscriber holds.
    socket.next().await.transpose()?;
    for message in messages {
        socket.send(Message::Binary(message.clone())).await?;
    }
    let mut ticks = interval(REPEAT_INTERVAL);
    while let Some(last) = messages.last() {
        ticks.tick().await;
        socket.send(Message::Binary(last.clone())).await?;
    }
    Ok(())
}

/// Returns a message of a recording, whose lines are names and hexadecimal digits.
pub fn recorded_message(recording: &str, name: &str) -> Bytes {
    let mut lines = recording.lines().filter_map(|line| line.split_once(' '));
    let (_, digits) = lines.find(|(recorded, _)| *recorded == name).expect("it was recorded");
    let byte = |pair: &[u8]| {
        let pair = str::from_utf8(pair).expect("digits are ASCII");
        u8::from_str_radix(pair, 16).expect("digits are hexadecimal")
    };
    digits.as_bytes().chunks(2).map(byte).collect()
}
