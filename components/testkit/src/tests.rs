//! Checks of the test helpers themselves.

use std::io::ErrorKind;
use std::net::TcpListener;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::daemons::free_address;
use crate::fault_proxy::FaultProxy;
use crate::process::start_process;

/// A process that is being started holds copies of all sockets until its program runs.
#[test]
fn free_address_can_be_bound_while_processes_start() {
    const ADDRESSES: usize = 3_000;
    let has_ended = AtomicBool::new(false);
    let taken = std::thread::scope(|scope| {
        for _ in 0..3 {
            scope.spawn(|| {
                while !has_ended.load(Ordering::Relaxed) {
                    let child = start_process(&mut Command::new("true"));
                    child.and_then(|mut child| child.wait()).expect("the program runs");
                }
            });
        }
        let taken = (0..ADDRESSES).filter(|_| TcpListener::bind(free_address()).is_err()).count();
        has_ended.store(true, Ordering::Relaxed);
        taken
    });
    assert_eq!(taken, 0, "of {ADDRESSES} addresses");
}

/// Guards against requests that reach a server of another test over a link that is cut.
#[tokio::test]
async fn port_that_refuses_connections_is_assigned_to_no_other_listener() {
    let link = FaultProxy::start(free_address()).await;
    link.refuse();
    while TcpStream::connect(link.address).await.is_ok() {
        sleep(Duration::from_millis(1)).await;
    }
    let bound = TcpListener::bind(link.address);
    assert_eq!(bound.err().map(|error| error.kind()), Some(ErrorKind::AddrInUse));
    let connected = TcpStream::connect(link.address).await;
    assert_eq!(connected.err().map(|error| error.kind()), Some(ErrorKind::ConnectionRefused));
}
