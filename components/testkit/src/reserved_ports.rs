//! Listeners at ports that stay reserved after they close. Otherwise, a port that refuses
//! connections can be assigned to a listener of another test, which then gets these connections.

use std::io;
use std::net::SocketAddr;
use std::sync::Mutex;

use tokio::net::{TcpListener, TcpSocket};

/// Largest number of connections that wait to be accepted.
const BACKLOG: u32 = 1024;

/// Bound sockets that don't listen: connections to their ports are refused. They are open until this
/// process ends.
static RESERVATIONS: Mutex<Vec<TcpSocket>> = Mutex::new(Vec::new());

/// Listens at a loopback port that no other listener gets while this process runs.
pub(crate) fn listen_at_new_port() -> TcpListener {
    let socket = bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a loopback port is free");
    let address = socket.local_addr().expect("a bound socket has an address");
    RESERVATIONS.lock().expect("reservation lock is never poisoned").push(socket);
    listen_again(address).expect("this process has reserved the port")
}

/// Listens at the address of a closed listener of this process.
pub(crate) fn listen_again(address: SocketAddr) -> io::Result<TcpListener> {
    bind(address)?.listen(BACKLOG)
}

fn bind(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    // Lets the reservation and the listener share the port.
    socket.set_reuseport(true)?;
    socket.bind(address)?;
    Ok(socket)
}
