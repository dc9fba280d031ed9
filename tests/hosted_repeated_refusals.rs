//! On a hosting platform: servers that send a refusal once more on a kept connection.

use std::collections::HashMap;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use testkit::{
    HostedFleet, RawConnection, RawRequest, RawServer, call, load_header, not_run_header,
    request_id,
};

const DAEMON_PATH: &str = env!("CARGO_BIN_EXE_mustardraild");

/// How often each request was run, by request ID.
#[derive(Clone, Default)]
struct RunCounts {
    counts: Arc<Mutex<HashMap<String, usize>>>,
}

impl RunCounts {
    fn record(&self, request: &RawRequest) {
        *self.lock().entry(request.id().to_owned()).or_default() += 1;
    }

    fn of(&self, id: &str) -> usize {
        self.lock().get(id).copied().unwrap_or(0)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, usize>> {
        self.counts.lock().expect("count lock is never poisoned")
    }
}

/// A refusal of a request.
fn refusal(request: &RawRequest) -> String {
    let headers = request.response_headers() + &load_header("0,0,4,100") + &not_run_header();
    format!("HTTP/1.1 503 Service Unavailable\r\n{headers}content-length: 0\r\n\r\n")
}

/// Guards against REFUSED: a second attempt on the connection of the first one takes a late copy of
/// the refusal, which has the same request ID, for its own answer.
#[tokio::test(flavor = "multi_thread")]
async fn late_copy_of_a_refusal_is_no_answer_to_the_next_attempt() {
    let runs = RunCounts::default();
    let has_refused = Arc::new(AtomicBool::new(false));
    let (server_runs, server_has_refused) = (runs.clone(), Arc::clone(&has_refused));
    let server = RawServer::start("s-0", move |mut connection: RawConnection| {
        let (runs, has_refused) = (server_runs.clone(), Arc::clone(&server_has_refused));
        async move {
            let mut copy = String::new();
            loop {
                let request = connection.next_request().await?;
                if request.is_probe() {
                    connection.respond("200 OK", &load_header("0,0,4,100"), "").await?;
                    continue;
                }
                connection.send(&std::mem::take(&mut copy)).await?;
                if has_refused.swap(true, Ordering::SeqCst) {
                    runs.record(&request);
                    connection.respond("200 OK", &request.response_headers(), "answer").await?;
                } else {
                    copy = refusal(&request);
                    connection.send(&copy).await?;
                }
            }
        }
    })
    .await;
    let fleet =
        HostedFleet::start_with(Path::new(DAEMON_PATH), Vec::new(), std::slice::from_ref(&server))
            .await;
    let order = fleet.order_request("one stone");
    let response = call(&order).await.expect("the daemon responds");
    assert!(has_refused.load(Ordering::SeqCst), "the first attempt was refused");
    assert_eq!((response.status, runs.of(&request_id(&order))), (200, 1));
}
