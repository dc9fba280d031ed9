//! Decides how the bytes of a connection are passed to the HTTP server: one request at a time, with
//! the rest held back.

use std::collections::VecDeque;

use bytes::{Buf, BytesMut};

/// What the HTTP server reads next from a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Expected {
    /// The head of a request.
    Head,
    /// This number of bytes of a body.
    Body(u64),
    /// A body of unknown length. The connection closes after its response.
    Rest,
}

/// Length of the body of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum BodyLength {
    Known(u64),
    Unknown,
}

/// Searches a byte stream for blank lines, with which the heads of requests end.
#[derive(Debug, Clone, Copy, Default)]
struct BlankLineSearch {
    /// Whether the bytes so far end with a line feed, possibly followed by a carriage return.
    is_line_start: bool,
    has_carriage_return: bool,
}

/// Bytes of a connection that aren't passed to the HTTP server yet. `S` stands for a request that
/// was started before its head is passed on.
#[derive(Debug)]
pub(super) struct ReadAhead<S> {
    held: BytesMut,
    /// Requests whose heads are at the start of `held`, with the number of bytes of each head that
    /// are still to be passed on.
    started: VecDeque<(usize, S)>,
    /// Started request whose whole head was passed on.
    passed: Option<S>,
    /// Sum of the lengths in `started`.
    started_bytes: usize,
    /// Bytes behind those that were searched for the end of a head.
    searched: usize,
    search: BlankLineSearch,
    /// Search in the bytes that are passed on.
    passed_search: BlankLineSearch,
    expected: Expected,
    /// Whether a request is in progress: received, and its response not complete.
    is_busy: bool,
    /// Whether requests may run concurrently with the one in progress.
    may_overlap: bool,
    /// Whether the next head, and all behind it, wait for all responses before them.
    is_barred: bool,
}

impl BlankLineSearch {
    /// Returns the number of bytes up to the end of the first blank line.
    fn find_end(&mut self, bytes: &[u8]) -> Option<usize> {
        for (index, byte) in bytes.iter().enumerate() {
            match byte {
                b'\n' if self.is_line_start => {
                    *self = Self::default();
                    return Some(index + 1);
                }
                b'\n' => *self = Self { is_line_start: true, has_carriage_return: false },
                b'\r' if self.is_line_start && !self.has_carriage_return => {
                    self.has_carriage_return = true;
                }
                _ => *self = Self::default(),
            }
        }
        None
    }
}

impl<S> ReadAhead<S> {
    /// Creates the state of a connection without bytes.
    pub(super) fn new() -> Self {
        Self {
            held: BytesMut::new(),
            started: VecDeque::new(),
            passed: None,
            started_bytes: 0,
            searched: 0,
            search: BlankLineSearch::default(),
            passed_search: BlankLineSearch::default(),
            expected: Expected::Head,
            is_busy: false,
            may_overlap: false,
            is_barred: false,
        }
    }

    /// Whether the HTTP server may read. Otherwise the next bytes begin the head of a request that
    /// has to wait for the response in progress.
    pub(super) fn may_pass(&self) -> bool {
        !self.is_busy || self.expected != Expected::Head
    }

    /// Number of bytes held back.
    pub(super) fn held_bytes(&self) -> usize {
        self.held.len()
    }

    /// Number of requests that were started and aren't in progress yet.
    pub(super) fn started_count(&self) -> usize {
        self.started.len() + usize::from(self.passed.is_some())
    }

    /// Holds back received bytes.
    pub(super) fn hold(&mut self, bytes: &[u8]) {
        self.held.extend_from_slice(bytes);
    }

    /// Returns how many of the received bytes are passed on; the rest must be held back. Only for
    /// use while no bytes are held back.
    pub(super) fn pass_received(&mut self, received: &[u8]) -> usize {
        debug_assert!(self.held.is_empty() && self.started.is_empty());
        count_passed(&mut self.expected, &mut self.passed_search, received)
    }

    /// Passes on at most `max_bytes` of the bytes that are held back.
    pub(super) fn pass_held(&mut self, max_bytes: usize, sink: impl FnOnce(&[u8])) {
        let available = self.held.len().min(max_bytes);
        let passed = match self.started.front_mut() {
            Some((left, _)) => {
                let passed = available.min(*left);
                *left -= passed;
                self.started_bytes -= passed;
                passed
            }
            None => {
                self.is_barred = false;
                self.restart_search();
                let bytes = &self.held[..available];
                count_passed(&mut self.expected, &mut self.passed_search, bytes)
            }
        };
        if let Some((_, request)) = self.started.pop_front_if(|(left, _)| *left == 0) {
            self.passed = Some(request);
        }
        sink(&self.held[..passed]);
        self.held.advance(passed);
        if self.held.is_empty() {
            // Idle connections keep no buffer.
            self.held = BytesMut::new();
        }
    }

    /// Records that the HTTP server has received a request. Returns it if it was started early.
    pub(super) fn begin_request(&mut self, body: BodyLength, may_overlap: bool) -> Option<S> {
        self.is_busy = true;
        self.may_overlap = may_overlap;
        self.passed_search = BlankLineSearch::default();
        self.expected = match body {
            BodyLength::Known(0) => Expected::Head,
            BodyLength::Known(length) => Expected::Body(length),
            BodyLength::Unknown => Expected::Rest,
        };
        self.passed.take()
    }

    /// Records that the response in progress is complete.
    pub(super) fn end_response(&mut self) {
        self.is_busy = false;
    }

    /// Returns the next complete head that is held back, if its request may run concurrently with
    /// the one in progress. The caller must start or bar it.
    ///
    /// Only for use in a read of the HTTP server: while a request without further body is in
    /// progress, it reads only if it has no bytes left, so the bytes held back begin with a head.
    pub(super) fn next_head(&mut self) -> Option<&[u8]> {
        if self.may_pass() || !self.may_overlap || self.is_barred {
            return None;
        }
        let unstarted = &self.held[self.started_bytes..];
        match self.search.find_end(&unstarted[self.searched..]) {
            Some(count) => {
                self.searched += count;
                Some(&unstarted[..self.searched])
            }
            None => {
                self.searched = unstarted.len();
                None
            }
        }
    }

    /// Records that the request of the last head was started.
    pub(super) fn start(&mut self, request: S) {
        self.started.push_back((self.searched, request));
        self.started_bytes += self.searched;
        self.restart_search();
    }

    /// Makes the last head and all behind it wait for the responses before them.
    pub(super) fn bar(&mut self) {
        self.is_barred = true;
        self.restart_search();
    }

    /// Makes all heads behind those of started requests wait for the responses before them.
    pub(super) fn bar_following(&mut self) {
        self.is_barred = true;
    }

    fn restart_search(&mut self) {
        self.searched = 0;
        self.search = BlankLineSearch::default();
    }
}

/// Returns how many bytes are passed on: up to the end of a head or of a body.
fn count_passed(
    expected: &mut Expected,
    passed_search: &mut BlankLineSearch,
    bytes: &[u8],
) -> usize {
    match expected {
        Expected::Head => passed_search.find_end(bytes).unwrap_or(bytes.len()),
        Expected::Rest => bytes.len(),
        Expected::Body(left) => {
            let passed = usize::try_from(*left).unwrap_or(usize::MAX).min(bytes.len());
            *left -= passed as u64;
            if *left == 0 {
                *expected = Expected::Head;
            }
            passed
        }
    }
}

#[cfg(test)]
mod tests;
