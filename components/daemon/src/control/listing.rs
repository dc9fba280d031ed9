//! Follows the platform's list of backend servers.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use board::Blackboard;
use model::jittered;
use observe::{Logger, warn};
use store::ServerListClient;

/// Mean time between two reads of the list.
const LIST_INTERVAL: Duration = Duration::from_secs(1);

/// Reads the list again and again. While it can't be read, the last one goes on.
pub(crate) async fn follow_list(list: ServerListClient, board: Arc<Blackboard>, log: Logger) {
    let mut known = None;
    loop {
        match list.load(known).await {
            Ok(loaded) => {
                known = Some(loaded.version);
                if let Some(entries) = loaded.entries {
                    board.set_servers(entries);
                }
            }
            Err(error) => warn!(log, "list: can't be read"; "reason" => %error),
        }
        sleep(jittered(LIST_INTERVAL)).await;
    }
}
