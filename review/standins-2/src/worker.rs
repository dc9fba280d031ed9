//! A worker: registers itself in the store, answers health checks with its load, and hands requests
//! to the case.

use std::io::{Result, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, SystemTime};

use crate::http::{Head, Reader};
use crate::store::Store;

const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// What a connection of a worker does after a request.
#[derive(PartialEq, Eq)]
pub enum Next {
    Continue,
    Close,
}

type Handler = Box<dyn Fn(&Worker, &mut Exchange) -> Result<Next> + Send + Sync>;

pub struct Worker {
    pub id: String,
    service: String,
    slots: usize,
    running: AtomicUsize,
    waiting: AtomicUsize,
    free: (Mutex<usize>, Condvar),
    handler: Handler,
}

/// One request on a connection; its body is not read yet.
pub struct Exchange {
    pub head: Head,
    pub request_id: String,
    pub reader: Reader,
    pub stream: TcpStream,
}

/// A slot in use, which is free again on drop.
pub struct Slot<'a>(&'a Worker);

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::SeqCst);
        *self.0.free.0.lock().unwrap() += 1;
        self.0.free.1.notify_one();
    }
}

impl Worker {
    /// Starts a worker that is ready at once, and renews its entry until this process ends.
    pub fn start(
        store: &Store,
        id: &str,
        service: &str,
        slots: usize,
        handler: Handler,
    ) -> Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let worker = Arc::new(Self {
            id: id.into(),
            service: service.into(),
            slots,
            running: AtomicUsize::new(0),
            waiting: AtomicUsize::new(0),
            free: (Mutex::new(slots), Condvar::new()),
            handler,
        });
        let (beating, store) = (Arc::clone(&worker), store.clone());
        let born = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        let sequence = AtomicU64::new(0);
        let beat = move || {
            let number = sequence.fetch_add(1, Ordering::SeqCst);
            let entry = format!(
                "{{\"address\":\"{address}\",\"born\":{},\"info\":{{\"service\":\"{}\",\
                 \"version\":\"v1\",\"zone\":\"za\",\"slots\":{}}},\"status\":{{\"state\":\"ready\",\
                 \"sequence\":{number},\"warmup_left_s\":0}}}}",
                born.as_millis(),
                beating.service,
                beating.slots,
            );
            store.put("servers", &beating.id, &entry);
        };
        beat();
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                beat();
            }
        });
        let serving = Arc::clone(&worker);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let worker = Arc::clone(&serving);
                // An error ends the connection.
                thread::spawn(move || drop(worker.serve(stream)));
            }
        });
        Ok(worker)
    }

    /// Waits for a slot.
    pub fn slot(&self) -> Slot<'_> {
        self.waiting.fetch_add(1, Ordering::SeqCst);
        let mut free = self.free.0.lock().unwrap();
        while *free == 0 {
            free = self.free.1.wait(free).unwrap();
        }
        *free -= 1;
        self.waiting.fetch_sub(1, Ordering::SeqCst);
        self.running.fetch_add(1, Ordering::SeqCst);
        Slot(self)
    }

    /// Returns the head of a success with the stamp, for a body of this length.
    pub fn success_head(&self, request_id: &str, length: usize) -> String {
        format!(
            "HTTP/1.1 200 OK\r\nX-Mustardrail-Request-Id: {request_id}\r\n\
             X-Mustardrail-Server-Stamp: {}.{request_id}\r\n{}Content-Length: {length}\r\n\r\n",
            self.id,
            self.load_field(),
        )
    }

    fn load_field(&self) -> String {
        let (running, waiting) =
            (self.running.load(Ordering::SeqCst), self.waiting.load(Ordering::SeqCst));
        format!("X-Mustardrail-Server-Load: {running},{waiting},{},100\r\n", self.slots)
    }

    fn serve(&self, stream: TcpStream) -> Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = Reader::new(stream.try_clone()?);
        loop {
            let head = reader.head()?;
            let mut own = stream.try_clone()?;
            if head.word(1) == "/healthz" {
                let text = format!(
                    "HTTP/1.1 200 OK\r\nX-Mustardrail-Instance-Id: {}\r\n{}Content-Length: 0\r\n\r\n",
                    self.id,
                    self.load_field(),
                );
                own.write_all(text.as_bytes())?;
                continue;
            }
            let request_id = head.field("x-mustardrail-request-id").unwrap_or("").to_owned();
            let expected = head.field("x-mustardrail-expect-instance");
            if expected.is_some_and(|expected| expected != self.id) {
                reader.body(&head)?;
                let text = format!(
                    "HTTP/1.1 421 Misdirected\r\nX-Mustardrail-Instance-Id: {}\r\n\
                     X-Mustardrail-Request-Id: {request_id}\r\nContent-Length: 0\r\n\r\n",
                    self.id,
                );
                own.write_all(text.as_bytes())?;
                continue;
            }
            let mut exchange = Exchange { head, request_id, reader, stream: own };
            if (self.handler)(self, &mut exchange)? == Next::Close {
                return Ok(());
            }
            reader = exchange.reader;
        }
    }
}
