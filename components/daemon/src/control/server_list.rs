//! Polls the platform's list of backend servers.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use board::Blackboard;
use model::jittered;
use observe::{Logger, warn};
use store::ServerListClient;

/// Mean interval between reads of the list.
const LIST_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Polls the list until the task is aborted. While it can't be read, the last one stays in use.
pub(crate) async fn poll_server_list(list: ServerListClient, board: Arc<Blackboard>, log: Logger) {
    let mut held_version = None;
    loop {
        match list.load(held_version).await {
            Ok(listed) => {
                held_version = Some(listed.version);
                if let Some(entries) = listed.entries {
                    board.set_servers(entries);
                }
            }
            Err(error) => warn!(log, "list: can't read server list"; "reason" => %error),
        }
        sleep(jittered(LIST_POLL_INTERVAL)).await;
    }
}
